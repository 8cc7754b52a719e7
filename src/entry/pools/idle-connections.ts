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
/** Time for which a request holds a connection, in seconds: between a statement and a short transaction. */
const HOLD_SECONDS = 0.05

interface IdleConnections {
  readonly count: number
  /** Whether an organisation has an idle connection. */
  has: (organisation: string) => boolean
  /** Adds a connection as the most recently used one. */
  add: (pooled: PooledConnection) => void
  /** Removes and returns the best match for a request; undefined if its organisation has no idle connection. */
  takeBest: (request: Pick<LeaseRequest, 'organisation' | 'values'>) => PooledConnection | undefined
  /** Removes a connection; returns whether it was idle. */
  remove: (pooled: PooledConnection) => boolean
  /**
   * Closes the connection with the lowest expected use: the statements of its organisation that would find all of its
   * other idle connections in use. Of equal ones the one that has been idle longest is closed.
   *
   * @param useOf - returns the expected statements per second of an organisation
   * @returns whether there was one
   */
  closeLeastUsed: (useOf: (organisation: string) => number) => boolean
  /**
   * Closes surplus connections that have been idle for too long.
   *
   * @param inUse - leased connections, which count when checking whether several organisations use the upstream
   * @param hasSurplus - whether more connections are open than the pool retains; evaluated before each closing
   * @param onClosed - called for each closed connection
   */
  closeSurplus: (inUse: Iterable<PooledConnection>, hasSurplus: () => boolean, onClosed: () => void) => void
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
    has: (organisation) => idle.some((pooled) => pooled.organisation === organisation),
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
    closeLeastUsed: (useOf) => {
      const [leastUsed] = idle.length === 0 ? [] : idle.splice(findLeastUsed(idle, useOf), 1)
      leastUsed?.connection.close()
      return leastUsed !== undefined
    },
    closeSurplus: (inUse, hasSurplus, onClosed) => {
      const now = performance.now()
      const surplusMs = surplusIdleMs([...idle, ...inUse])
      while (hasSurplus() && idle.length > 0 && now - idle[0]!.idleSince > surplusMs) {
        idle.shift()!.connection.close()
        onClosed()
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

function findLeastUsed (idle: PooledConnection[], useOf: (organisation: string) => number): number {
  const counts = new Map<string, number>()
  idle.forEach(({ organisation }) => counts.set(organisation, (counts.get(organisation) ?? 0) + 1))
  let best = 0
  let leastUse = Infinity
  idle.forEach(({ organisation }, index) => {
    const use = useOfLast(useOf(organisation), counts.get(organisation)!)
    if (use < leastUse) {
      best = index
      leastUse = use
    }
  })
  return best
}

/**
 * Returns the expected use of the last of several connections: the rate times the probability that the others are in
 * use (Poisson distribution, without the factor that is about 1 for rates at which connections are scarce).
 */
function useOfLast (perSecond: number, connections: number): number {
  let use = perSecond
  for (let others = 1; others < connections; others++) {
    use *= perSecond * HOLD_SECONDS / others
  }
  return use
}

function surplusIdleMs (open: PooledConnection[]): number {
  const isShared = new Set(open.map(({ organisation }) => organisation)).size > 1
  return isShared ? SURPLUS_IDLE_SHARED_MS : SURPLUS_IDLE_MS
}
