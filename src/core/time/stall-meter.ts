/** Measures for how long this process was kept from running its timers, by load on the machine or by its own work. */

/** Interval of the check of the clock, in milliseconds; a later check means that the process did not run. */
const CHECK_INTERVAL_MS = 20

/** Measures how late the timers of this process fire. */
export interface StallMeter {
  /** Time since the start in which the process did not run its timers, in milliseconds. */
  readonly stalledMs: number
  /** Clock of the time in which the process runs, in milliseconds. */
  readonly runningMs: number
  close: () => void
}

/**
 * Starts to measure.
 *
 * @returns the meter
 */
export function startStallMeter (): StallMeter {
  let stalledMs = 0
  let checkedAt = performance.now()
  /** Also called when the result is read, since a resumed process may run other work before its timers. */
  const checkClock = (): void => {
    const now = performance.now()
    stalledMs += Math.max(0, now - checkedAt - CHECK_INTERVAL_MS)
    checkedAt = now
  }
  const timer = setInterval(checkClock, CHECK_INTERVAL_MS)
  timer.unref()
  const readStalls = (): number => {
    checkClock()
    return stalledMs
  }
  return {
    get stalledMs () { return readStalls() },
    get runningMs () { return performance.now() - readStalls() },
    close: () => clearInterval(timer)
  }
}
