/** Bounds how long ago a signal was sent that this process handles only now, because it was kept from running. */
import { startAlignedInterval } from './aligned-interval.ts'

/** Interval of the observations, in milliseconds. With 20 ms they took a quarter of the processor time at rest. */
const OBSERVATION_INTERVAL_MS = 100
/** Delay of an observation up to which the process counts as running, in milliseconds. */
const PUNCTUAL_MS = 10
/** Longest delay of a signal that is assumed while the process runs, in milliseconds. */
const RUNNING_DELAY_MS = 40
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
 * handled after a turn was sent after the turn before. While the last observations were punctual and none is overdue,
 * the process runs, and signals are handled within {@link RUNNING_DELAY_MS}. Of a stall that has just begun, less than
 * {@link OBSERVATION_INTERVAL_MS} is then not counted, which the reserve at the end of a stop covers.
 *
 * @returns the clock
 */
export function startSignalClock (): SignalClock {
  let observedAt = performance.now()
  let observedBefore = observedAt
  const stop = startAlignedInterval(() => {
    observedBefore = observedAt
    observedAt = performance.now()
  }, OBSERVATION_INTERVAL_MS)
  const isPunctual = (from: number, to: number): boolean => to - from <= OBSERVATION_INTERVAL_MS + PUNCTUAL_MS
  return {
    earliestSentAt: () => {
      const now = performance.now()
      const runs = isPunctual(observedBefore, observedAt) && isPunctual(observedAt, now)
      const maximumMs = runs ? RUNNING_DELAY_MS : MAXIMUM_DELAY_MS
      return Math.max(observedBefore, now - maximumMs)
    },
    close: stop
  }
}
