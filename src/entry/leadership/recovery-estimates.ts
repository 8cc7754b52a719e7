/**
 * Decides how long a group that has lost its primary is expected to be without one.
 *
 * - Inputs: when each group lost its primary (steady clock), and how long earlier recoveries took (milliseconds).
 * - Rule: the running mean of earlier recoveries less the time since the loss, between {@link LEAST_MS} and
 *   {@link GREATEST_MS}; an overdue recovery is expected to take as long again as it is overdue.
 * - Why: a request that can wait that long waits; any other is refused at once with the time to retry, and not held
 *   until it is late.
 */

/** Time that is expected before the first recovery, in milliseconds: a promotion of 0.6 s and the steps before it. */
const TYPICAL_MS = 1500
/** Weight of the last recovery in the running mean. */
const SAMPLE_WEIGHT = 0.5
/** Least time that is expected while there is no primary, in milliseconds: one step of a failover. */
const LEAST_MS = 150
/** Greatest time that is expected, in milliseconds: callers that retry should soon see the end. */
const GREATEST_MS = 2000
/** Longer recoveries had another cause and say nothing of the next one, in milliseconds. */
const GREATEST_SAMPLE_MS = 5000

/** Estimates of when groups have a primary again. */
export interface RecoveryEstimates {
  /** Records that a group has no working primary; the first report counts. */
  recordLoss: (group: string) => void
  /** Records that it has one after a failover. */
  back: (group: string) => void
  /** Records that the one that seemed lost can be reached again, which is no sample of a failover's time. */
  recordReachable: (group: string) => void
  /** Time until a group is expected to have a primary again, in milliseconds; 0 when it has not lost it. */
  expectedRecoveryMs: (group: string) => number
}

/**
 * Creates the estimates, without samples.
 *
 * @returns the estimates
 */
export function createRecoveryEstimates (): RecoveryEstimates {
  const lostAt = new Map<string, number>()
  let typicalMs = TYPICAL_MS
  return {
    recordLoss: (group) => { lostAt.set(group, lostAt.get(group) ?? performance.now()) },
    back: (group) => {
      const since = lostAt.get(group)
      lostAt.delete(group)
      const tookMs = since === undefined ? Infinity : performance.now() - since
      if (tookMs <= GREATEST_SAMPLE_MS) {
        typicalMs += SAMPLE_WEIGHT * (tookMs - typicalMs)
      }
    },
    recordReachable: (group) => { lostAt.delete(group) },
    expectedRecoveryMs: (group) => {
      const since = lostAt.get(group)
      if (since === undefined) {
        return 0
      }
      // An overdue recovery is expected to last as long again: when hosts that were cut off delayed a failover by 18 s,
      // each request waited for nearly half of its time before it was refused.
      const leftMs = Math.abs(typicalMs - (performance.now() - since))
      return Math.min(GREATEST_MS, Math.max(LEAST_MS, leftMs))
    }
  }
}
