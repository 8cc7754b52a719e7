/**
 * Estimates how long a statement of a database runs at an upstream, as an exponential moving average of earlier ones.
 * The queue of a busy upstream orders statements by these estimates.
 */

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.05
/** Estimate for a database without samples, in milliseconds. */
const DEFAULT_COST_MS = 10
/** Maximum number of databases with an estimate; beyond it the one added first is dropped. */
const MAXIMUM_DATABASES = 4096

/** Estimated run times of statements by database. */
export interface StatementCosts {
  /** Returns the estimated run time of a statement, in milliseconds. */
  of: (database: string) => number
  /** Records the measured run time of a statement, in milliseconds. */
  record: (database: string, durationMs: number) => void
}

/**
 * Creates the estimates, without any samples.
 *
 * @returns the estimates
 */
export function createStatementCosts (): StatementCosts {
  const means = new Map<string, number>()
  return {
    of: (database) => means.get(database) ?? DEFAULT_COST_MS,
    record: (database, durationMs) => {
      const mean = means.get(database)
      const [oldest] = means.keys()
      if (mean === undefined && means.size >= MAXIMUM_DATABASES && oldest !== undefined) {
        means.delete(oldest)
      }
      means.set(database, mean === undefined ? durationMs : mean + SAMPLE_WEIGHT * (durationMs - mean))
    }
  }
}
