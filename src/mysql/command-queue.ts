/** Runs the commands of one client in the order of their arrival, one at a time. */

/** Queue of a client's unanswered commands. */
interface CommandQueue<Command> {
  /** Adds a command; it runs after all earlier ones have been answered, and never after `finish` was called. */
  add: (command: Command) => void
  /** Calls `finish` after all commands have been answered, or immediately if there are none. */
  finishWhenIdle: () => void
}

/**
 * Creates a queue.
 *
 * @param run - runs a command; must not reject
 * @param finish - called when the queue is idle after `finishWhenIdle`
 */
export function createCommandQueue<Command> (
  run: (command: Command) => Promise<void>, finish: () => void
): CommandQueue<Command> {
  const waiting: Command[] = []
  let busy = false
  let finishing = false
  let finished = false
  const finishOnce = (): void => {
    if (!finished) {
      finished = true
      finish()
    }
  }

  const drain = async (): Promise<void> => {
    busy = true
    for (let command = waiting.shift(); command !== undefined; command = waiting.shift()) {
      await run(command)
    }
    busy = false
    if (finishing) {
      finishOnce()
    }
  }

  return {
    add: (command) => {
      if (finished) {
        return
      }
      waiting.push(command)
      if (!busy) {
        void drain()
      }
    },
    finishWhenIdle: () => {
      finishing = true
      if (!busy && waiting.length === 0) {
        finishOnce()
      }
    }
  }
}
