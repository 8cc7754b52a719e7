/**
 * How long a group that has lost its primary will be without one, by how long it took before. A request that can wait
 * that long waits; one that can't is refused at once with the time to come back, and not held until it is late.
 */

/** Time that is expected before any was seen, in milliseconds: a promotion of 0.6 s, and what goes before it. */
const TYPICAL_MS = 1500
/** Weight of the last time in the running mean. */
const SAMPLE_WEIGHT = 0.5
/** Least time that is expected while there is no primary, in milliseconds: a step of a change. */
const LEAST_MS = 150
/** Greatest time that is expected, in milliseconds: callers who are told to come back should soon see its end. */
const GREATEST_MS = 2000
/** Longer times say that something else went wrong, and nothing of the next one, in milliseconds. */
const GREATEST_SAMPLE_MS = 5000

/** Expectations of when groups have a primary again. */
export interface RecoveryEstimates {
  /** Takes note that a group has no primary that works; the first sign counts. */
  lost: (group: string) => void
  /** Takes note that it has one, after a change of primary. */
  back: (group: string) => void
  /** Takes note that the one that seemed lost can be reached again; that tells nothing of how long a change takes. */
  reached: (group: string) => void
  /** Time until a group is expected to have a primary again, in milliseconds; 0 when it has not lost it. */
  expectedMs: (group: string) => number
}

/**
 * Creates the expectations; nothing has been seen yet.
 *
 * @returns the expectations
 */
export function createRecoveryEstimates (): RecoveryEstimates {
  const lostAt = new Map<string, number>()
  let typicalMs = TYPICAL_MS
  return {
    lost: (group) => { lostAt.set(group, lostAt.get(group) ?? performance.now()) },
    back: (group) => {
      const since = lostAt.get(group)
      lostAt.delete(group)
      const tookMs = since === undefined ? Infinity : performance.now() - since
      if (tookMs <= GREATEST_SAMPLE_MS) {
        typicalMs += SAMPLE_WEIGHT * (tookMs - typicalMs)
      }
    },
    reached: (group) => { lostAt.delete(group) },
    expectedMs: (group) => {
      const since = lostAt.get(group)
      if (since === undefined) {
        return 0
      }
      // What is overdue is expected to last as long again: when hosts that are cut off held a change up for 18 s, each
      // request waited for nearly half of its time before it was refused.
      const leftMs = Math.abs(typicalMs - (performance.now() - since))
      return Math.min(GREATEST_MS, Math.max(LEAST_MS, leftMs))
    }
  }
}
