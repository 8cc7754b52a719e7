/**
 * Timeouts for the answers of others that do not count the time in which this process itself did not run. Otherwise a
 * starved process would find everybody silent whose answers it has not read yet.
 */

/** Starts a timer; returns a function that cancels it. */
export type TimerStarter = (callback: () => void, timeoutMs: number) => () => void

/** Length of one step, in milliseconds; of a step that takes longer, only this much counts. */
const STEP_MS = 25
/** Bound of the elapsed time, as a multiple of the timeout, so that a starved process decides at last. */
const MAXIMUM_STRETCH = 10

/**
 * Starts a timer that counts elapsed time.
 *
 * @param callback - called after the timeout
 * @param timeoutMs - timeout, in milliseconds
 * @returns cancels the timer
 */
export function startTimer (callback: () => void, timeoutMs: number): () => void {
  const timer = setTimeout(callback, timeoutMs)
  return () => clearTimeout(timer)
}

/**
 * Starts a timer that counts only time in which this process runs. Answers that have arrived by the end of the timeout
 * are handled before the callback.
 *
 * @param callback - called after the timeout
 * @param timeoutMs - timeout, in milliseconds; the elapsed time is at most {@link MAXIMUM_STRETCH} times as long
 * @returns cancels the timer
 */
export function startRunningTimer (callback: () => void, timeoutMs: number): () => void {
  const latestAt = performance.now() + timeoutMs * MAXIMUM_STRETCH
  let leftMs = timeoutMs
  let timer: NodeJS.Timeout | undefined
  let immediate: NodeJS.Immediate | undefined
  const step = (): void => {
    const stepMs = Math.min(STEP_MS, leftMs)
    timer = setTimeout(() => {
      leftMs -= stepMs
      if (leftMs > 0 && performance.now() < latestAt) {
        step()
      } else {
        immediate = setImmediate(callback)
      }
    }, stepMs)
  }
  step()
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}
