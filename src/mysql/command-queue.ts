/** Runs the commands of one client in the order of their arrival, one at a time. */

/** The commands of a client that have not been answered. */
interface CommandQueue<Command> {
  /** Adds a command; it runs once all before it are answered. */
  add: (command: Command) => void
  /** Finishes once all commands are answered; at once when there are none. */
  finishWhenIdle: () => void
}

/**
 * Creates a queue.
 *
 * @param run - runs a command; must not fail
 * @param finish - called when the queue is idle and is to finish
 * @returns the queue
 */
export function createCommandQueue<Command> (
  run: (command: Command) => Promise<void>, finish: () => void
): CommandQueue<Command> {
  const waiting: Command[] = []
  let busy = false
  let finishing = false

  const work = async (): Promise<void> => {
    busy = true
    for (let command = waiting.shift(); command !== undefined; command = waiting.shift()) {
      await run(command)
    }
    busy = false
    if (finishing) {
      finish()
    }
  }

  return {
    add: (command) => {
      waiting.push(command)
      if (!busy) {
        void work()
      }
    },
    finishWhenIdle: () => {
      finishing = true
      if (!busy && waiting.length === 0) {
        finish()
      }
    }
  }
}
