/**
 * Orders decisions by time after the input that they depend on. The event loop runs timers before it reads sockets, so
 * a process that was kept from running would otherwise find everybody silent.
 */

/** Longest turn of the event loop after which no more than a little input can have arrived unread, in milliseconds. */
const SHORT_TURN_MS = 5
/** Number of turns after which a busy process no longer waits for a short one. */
const MAXIMUM_TURNS = 10

/** Waits until the input that has arrived at this process has been read. */
export async function readArrivedInput (): Promise<void> {
  for (let turn = 0; turn < MAXIMUM_TURNS; turn++) {
    const startedAt = performance.now()
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    if (performance.now() - startedAt <= SHORT_TURN_MS) {
      return
    }
  }
}
