/**
 * Idle connections of one pool, ordered from the longest idle to the most recently used. A request gets the connection
 * of its organisation that needs the fewest changes of session values, the most recently used of equal ones.
 */
import { mismatchCost } from './align-connection.ts'
import type { LeaseRequest, PooledConnection } from './types.ts'

/** Time after which a surplus idle connection is closed, in milliseconds. */
const SURPLUS_IDLE_MS = 1500
/**
 * Time after which a surplus idle connection is closed if several organisations use the upstream, in milliseconds. It
 * is longer because an organisation can't reuse the connections of another.
 */
const SURPLUS_IDLE_SHARED_MS = 10_000

interface IdleConnections {
  readonly count: number
  /** Adds a connection as the most recently used one. */
  add: (pooled: PooledConnection) => void
  /** Removes and returns the best match for a request; undefined if its organisation has no idle connection. */
  takeBest: (request: Pick<LeaseRequest, 'organisation' | 'values'>) => PooledConnection | undefined
  /** Removes a connection; returns whether it was idle. */
  remove: (pooled: PooledConnection) => boolean
  /** Closes the connection that has been idle longest; returns whether there was one. */
  closeLongestIdle: () => boolean
  /**
   * Closes surplus connections that have been idle for too long.
   *
   * @param inUse - leased connections, which count when checking whether several organisations use the upstream
   * @param hasSurplus - whether more connections are open than the pool retains; evaluated before each closing
   */
  closeSurplus: (inUse: Iterable<PooledConnection>, hasSurplus: () => boolean) => void
  closeAll: () => void
}

/**
 * Creates the list of idle connections of a pool.
 *
 * @returns an empty list
 */
export function createIdleConnections (): IdleConnections {
  const idle: PooledConnection[] = []
  return {
    get count () { return idle.length },
    add: (pooled) => {
      pooled.idleSince = performance.now()
      idle.push(pooled)
    },
    takeBest: (request) => {
      const best = findBestIndex(idle, request)
      return best < 0 ? undefined : idle.splice(best, 1)[0]
    },
    remove: (pooled) => {
      const index = idle.indexOf(pooled)
      return index >= 0 && idle.splice(index, 1).length > 0
    },
    closeLongestIdle: () => {
      const longestIdle = idle.shift()
      longestIdle?.connection.close()
      return longestIdle !== undefined
    },
    closeSurplus: (inUse, hasSurplus) => {
      const now = performance.now()
      const surplusMs = surplusIdleMs([...idle, ...inUse])
      while (hasSurplus() && idle.length > 0 && now - idle[0]!.idleSince > surplusMs) {
        idle.shift()!.connection.close()
      }
    },
    closeAll: () => idle.splice(0).forEach(({ connection }) => connection.close())
  }
}

function findBestIndex (
  idle: PooledConnection[], { organisation, values }: Pick<LeaseRequest, 'organisation' | 'values'>
): number {
  let best = -1
  let leastMismatch = Infinity
  for (let index = idle.length - 1; index >= 0; index--) {
    const pooled = idle[index]!
    const isMatch = organisation === undefined || pooled.organisation === organisation
    const mismatch = isMatch ? mismatchCost(pooled.values, values) : Infinity
    if (mismatch < leastMismatch) {
      best = index
      leastMismatch = mismatch
    }
  }
  return best
}

function surplusIdleMs (open: PooledConnection[]): number {
  const isShared = new Set(open.map(({ organisation }) => organisation)).size > 1
  return isShared ? SURPLUS_IDLE_SHARED_MS : SURPLUS_IDLE_MS
}
