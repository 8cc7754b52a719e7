/**
 * Orders decisions by time after the input that they depend on. The event loop runs timers before it reads sockets, so
 * a process that was kept from running would otherwise find everybody silent.
 */

/** Longest turn of the event loop after which hardly any input can have arrived unread, in milliseconds. */
const SHORT_TURN_MS = 5
/** Time after which a busy process no longer waits for a short turn, in milliseconds, and least number of its turns. */
const MAXIMUM_MS = 50
const MINIMUM_TURNS = 2

/** Waits until the input that has arrived at this process has been read. */
export async function readArrivedInput (): Promise<void> {
  const startedAt = performance.now()
  let turnedAt = startedAt
  for (let turn = 1; ; turn++) {
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    const now = performance.now()
    if (now - turnedAt <= SHORT_TURN_MS || (turn >= MINIMUM_TURNS && now - startedAt >= MAXIMUM_MS)) {
      return
    }
    turnedAt = now
  }
}

/**
 * Starts a timer whose callback is called after the input has been read that had arrived by the end of the timeout.
 *
 * @param callback - called after the timeout
 * @param timeoutMs - timeout, in milliseconds
 * @returns cancels the timer
 */
export function startInputTimer (callback: () => void, timeoutMs: number): () => void {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(callback) }, timeoutMs)
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}
