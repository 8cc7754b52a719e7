/**
 * Which idle connection serves a request, and which one is closed first. Owns the idle connections of one pool, the one
 * that has been idle for longest first.
 *
 * Inputs: the requester's organisation and session values; the idle time of each connection in milliseconds; how many
 * connections are kept open. Rule: a connection of the same organisation whose session values need the fewest changes,
 * the most recently used of equal ones. Connections beyond those that are kept are closed after
 * {@link SURPLUS_IDLE_MS}, or {@link SURPLUS_IDLE_SHARED_MS} where several organisations share the upstream.
 */
import { mismatchOf } from './align-connection.ts'
import type { LeaseRequest, PooledConnection } from './types.ts'

/** Time after which an idle connection beyond those that are kept is closed, in milliseconds. */
const SURPLUS_IDLE_MS = 1500
/**
 * The same where organisations share the upstream, in milliseconds: no other one's connection can take its place, so
 * that one which comes back after some seconds would have to open it anew.
 */
const SURPLUS_IDLE_SHARED_MS = 10_000

/** Idle connections of a pool. */
interface IdleConnections {
  readonly count: number
  /** Adds a connection as the most recently used one. */
  add: (pooled: PooledConnection) => void
  /** Takes the connection that fits a request best; undefined when none is of its organisation. */
  takeBest: (request: Pick<LeaseRequest, 'organisation' | 'values'>) => PooledConnection | undefined
  /** Removes a connection; returns whether it was idle. */
  remove: (pooled: PooledConnection) => boolean
  /** Closes the connection that has been idle for longest; returns whether there was one. */
  closeLongestIdle: () => boolean
  /**
   * Closes connections that have been idle for too long.
   *
   * @param inUse - connections in use: whether organisations share the upstream depends on them too
   * @param hasSurplus - whether more connections are open than are kept; evaluated before each closing
   */
  closeSurplus: (inUse: Iterable<PooledConnection>, hasSurplus: () => boolean) => void
  closeAll: () => void
}

/**
 * Creates the idle connections of a pool.
 *
 * @returns none yet
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
      const best = indexOfBest(idle, request)
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

function indexOfBest (
  idle: PooledConnection[], { organisation, values }: Pick<LeaseRequest, 'organisation' | 'values'>
): number {
  let best = -1
  let leastMismatch = Infinity
  for (let index = idle.length - 1; index >= 0; index--) {
    const pooled = idle[index]!
    const isFit = organisation === undefined || pooled.organisation === organisation
    const mismatch = isFit ? mismatchOf(pooled.values, values) : Infinity
    if (mismatch < leastMismatch) {
      best = index
      leastMismatch = mismatch
    }
  }
  return best
}

/** Time after which surplus connections are closed, in milliseconds. */
function surplusIdleMs (open: PooledConnection[]): number {
  const isShared = new Set(open.map(({ organisation }) => organisation)).size > 1
  return isShared ? SURPLUS_IDLE_SHARED_MS : SURPLUS_IDLE_MS
}
