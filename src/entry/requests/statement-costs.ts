/**
 * How long does a statement of a database take at an upstream? Input: times of earlier ones, in milliseconds. Rule:
 * their running mean. It decides whose turn comes first at a busy upstream.
 */

/** Weight of a new time in the running mean. */
const SAMPLE_WEIGHT = 0.05
/** Time that is expected while none was recorded, in milliseconds. */
const UNKNOWN_MS = 10
/** Databases that are remembered, so that memory stays bounded; the oldest is dropped. */
const REMEMBERED = 4096

/** Expected times of statements. */
export interface StatementCosts {
  /** Expected time of a statement of a database, in milliseconds. */
  of: (database: string) => number
  /** Records the time that a statement took at an upstream, in milliseconds. */
  record: (database: string, durationMs: number) => void
}

/**
 * Creates the costs; nothing has been seen yet.
 *
 * @returns the costs
 */
export function createStatementCosts (): StatementCosts {
  const means = new Map<string, number>()
  return {
    of: (database) => means.get(database) ?? UNKNOWN_MS,
    record: (database, durationMs) => {
      const before = means.get(database)
      const [oldest] = means.keys()
      if (before === undefined && means.size >= REMEMBERED && oldest !== undefined) {
        means.delete(oldest)
      }
      means.set(database, before === undefined ? durationMs : before + SAMPLE_WEIGHT * (durationMs - before))
    }
  }
}
