/** Bounds how long ago a signal was sent that this process handles only now, because it was kept from running. */

/** Interval of the observations, in milliseconds; in a process that runs, the bound is at most twice as long. */
const OBSERVATION_INTERVAL_MS = 20
/** Longest delay that is assumed, in milliseconds; the signal may have been sent at the end of a longer stall. */
const MAXIMUM_DELAY_MS = 500

/** Observes when the event loop has read signals. */
export interface SignalClock {
  /** Returns the earliest time at which the signal that is being handled was sent, on the monotonic clock. */
  earliestSentAt: () => number
  close: () => void
}

/**
 * Starts to observe. Between two turns of its timers the event loop reads the signals that have arrived, so one that is
 * handled after a turn was sent after the turn before.
 *
 * @returns the clock
 */
export function startSignalClock (): SignalClock {
  let observedAt = performance.now()
  let observedBefore = observedAt
  const timer = setInterval(() => {
    observedBefore = observedAt
    observedAt = performance.now()
  }, OBSERVATION_INTERVAL_MS)
  timer.unref()
  return {
    earliestSentAt: () => Math.max(observedBefore, performance.now() - MAXIMUM_DELAY_MS),
    close: () => clearInterval(timer)
  }
}
