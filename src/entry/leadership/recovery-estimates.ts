/**
 * Estimates when a group that has lost its primary will have one again, from a running mean of earlier recoveries. A
 * request that can wait that long waits; any other is refused at once with a time to retry.
 */

/** Estimate before the first recovery, in milliseconds: a promotion of 0.6 s and the steps before it. */
const INITIAL_ESTIMATE_MS = 1500
/** Weight of the latest recovery in the running mean. */
const SAMPLE_WEIGHT = 0.5
/** Minimum estimate while a group has no primary, in milliseconds: one step of a failover. */
const MINIMUM_ESTIMATE_MS = 150
/** Maximum estimate, in milliseconds, so that callers retry soon after the recovery. */
const MAXIMUM_ESTIMATE_MS = 2000
/** Maximum duration of a recovery that enters the mean, in milliseconds; longer ones are outliers. */
const MAXIMUM_SAMPLE_MS = 5000

/** Estimates of when groups will have a primary again. */
export interface RecoveryEstimates {
  /** Records that a group has lost its primary; only the first report of a loss counts. */
  recordLoss: (group: string) => void
  /** Records that a group has a primary after a failover, and adds the time since the loss to the mean. */
  recordRecovery: (group: string) => void
  /** Records that a group's primary can be reached again without a failover; the mean stays. */
  recordReachable: (group: string) => void
  /** Expected time until a group has a primary again, in milliseconds; 0 if it has not lost it. */
  expectedRecoveryMs: (group: string) => number
}

/**
 * Creates the estimates.
 *
 * @returns estimates without samples
 */
export function createRecoveryEstimates (): RecoveryEstimates {
  const lostAt = new Map<string, number>()
  let meanMs = INITIAL_ESTIMATE_MS
  return {
    recordLoss: (group) => { lostAt.set(group, lostAt.get(group) ?? performance.now()) },
    recordRecovery: (group) => {
      const since = lostAt.get(group)
      lostAt.delete(group)
      const tookMs = since === undefined ? Infinity : performance.now() - since
      if (tookMs <= MAXIMUM_SAMPLE_MS) {
        meanMs += SAMPLE_WEIGHT * (tookMs - meanMs)
      }
    },
    recordReachable: (group) => { lostAt.delete(group) },
    expectedRecoveryMs: (group) => {
      const since = lostAt.get(group)
      if (since === undefined) {
        return 0
      }
      // An overdue recovery is expected to take as long again as it is overdue, so that requests stop waiting for it: a
      // failover that cut-off hosts delayed by 18 s made each request wait for nearly half of its time.
      const remainingMs = Math.abs(meanMs - (performance.now() - since))
      return Math.min(MAXIMUM_ESTIMATE_MS, Math.max(MINIMUM_ESTIMATE_MS, remainingMs))
    }
  }
}
