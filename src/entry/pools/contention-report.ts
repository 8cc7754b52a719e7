/** Reports the competition of organisations for the connections of a pool, at most once per {@link INTERVAL_MS}. */
import type { PoolContention, PooledConnection } from './types.ts'

/** Minimum time between two reports of a pool, in milliseconds. */
const INTERVAL_MS = 1000

/** Report of one pool. */
interface ContentionReport {
  /** Counts a connection that was closed for another organisation. */
  countReplaced: () => void
  /**
   * Reports that organisations wait and can't be served, unless the last report was less than {@link INTERVAL_MS} ago.
   *
   * @param organisationsWaiting - number of these organisations
   * @param inUse - leased connections
   */
  report: (organisationsWaiting: number, inUse: ReadonlySet<PooledConnection>) => void
}

/**
 * Creates the report of a pool.
 *
 * @param onContended - receives the reports
 * @returns the report
 */
export function createContentionReport (onContended: (contention: PoolContention) => void): ContentionReport {
  let closedForOthers = 0
  let reportedAt = -Infinity
  return {
    countReplaced: () => { closedForOthers++ },
    report: (organisationsWaiting, inUse) => {
      const now = performance.now()
      if (organisationsWaiting === 0 || now - reportedAt < INTERVAL_MS) {
        return
      }
      let idleInTransaction = 0
      inUse.forEach(({ isIdleTransaction }) => { idleInTransaction += isIdleTransaction ? 1 : 0 })
      reportedAt = now
      onContended({ organisationsWaiting, inUse: inUse.size, idleInTransaction, closedForOthers })
      closedForOthers = 0
    }
  }
}
