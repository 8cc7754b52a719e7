/**
 * Bounds the connections of a home that one organisation may hold, so that the others get some.
 *
 * Designed for many organisations that share a home's few connections, of which one floods or leaves transactions
 * idle. While another organisation waits for a connection, one holds at most half of them, and its idle transactions at
 * most a quarter; at least one is allowed. The bound on idle transactions also applies when a transaction would take
 * one of the last quarter and other organisations have used the upstream lately: only its caller can end an idle
 * transaction, so it would be too late once the others wait. Requests without organisation are not bounded.
 */
import type { LeaseRequest, PooledConnection } from './types.ts'

/** The properties of a request that the bounds depend on. */
type BoundedRequest = Pick<LeaseRequest, 'organisation' | 'beginsTransaction'>

/** What one organisation holds. */
interface Holding {
  /** Connections in use or being opened. */
  connections: number
  /** Connections with an open transaction that has no statement in progress. */
  idleTransactions: number
}

/** State of a pool that the bounds depend on. */
interface PoolState {
  inUse: ReadonlySet<PooledConnection>
  /** Number of connections being opened, by organisation. */
  opening: ReadonlyMap<string, number>
  /** Connections that this host may have open. */
  maximum: number
  /** Requests for which no connection is being opened, in the order in which they are served. */
  unserved: readonly BoundedRequest[]
  /** Whether an organisation other than the given one has used the upstream lately. */
  isShared: (organisation: string) => boolean
}

/** Decides which requests may take a connection; valid until something else changes the pool. */
export interface ConnectionBounds {
  /** Number of organisations that wait within their bounds. */
  readonly contenders: number
  /** Whether a request may take an idle connection, or have one opened. */
  admits: (request: BoundedRequest) => boolean
  /** Counts a connection that a request has taken or that is being opened for it. */
  count: (request: BoundedRequest) => void
}

const NOTHING: Readonly<Holding> = { connections: 0, idleTransactions: 0 }

/**
 * Evaluates the bounds of a pool.
 *
 * @param state - the pool
 * @returns the decisions
 */
export function createConnectionBounds ({ inUse, opening, maximum, unserved, isShared }: PoolState): ConnectionBounds {
  const half = Math.max(1, Math.floor(maximum / 2))
  const quarter = Math.max(1, Math.floor(maximum / 4))
  const holdings = countHoldings(inUse, opening)
  let taken = inUse.size + [...opening.values()].reduce((sum, number) => sum + number, 0)
  const holdingOf = (organisation: string): Readonly<Holding> => holdings.get(organisation) ?? NOTHING
  const hasIdleBound = ({ organisation, beginsTransaction }: BoundedRequest): boolean =>
    beginsTransaction && holdingOf(organisation!).idleTransactions >= quarter
  const isBounded = (request: BoundedRequest): boolean =>
    isOrganised(request) && (holdingOf(request.organisation!).connections >= half || hasIdleBound(request))
  const contenders = new Set(unserved.filter((request) => !isBounded(request)).map(({ organisation }) => organisation))
  const isContended = (organisation: string | undefined): boolean =>
    contenders.size > (contenders.has(organisation) ? 1 : 0)
  return {
    contenders: contenders.size,
    admits: (request) => {
      const { organisation } = request
      if (!isBounded(request)) {
        return true
      }
      const takesLastQuarter = hasIdleBound(request) && maximum - taken <= quarter && isShared(organisation!)
      return !takesLastQuarter && !isContended(organisation)
    },
    count: ({ organisation = '' }) => {
      taken++
      holdingIn(holdings, organisation).connections++
    }
  }
}

/** Whether a request has an organisation, and so is bounded. */
export function isOrganised ({ organisation }: Pick<BoundedRequest, 'organisation'>): boolean {
  return organisation !== undefined && organisation !== ''
}

function countHoldings (
  inUse: Iterable<PooledConnection>, opening: ReadonlyMap<string, number>
): Map<string, Holding> {
  const holdings = new Map<string, Holding>()
  for (const { organisation, isIdleTransaction } of inUse) {
    const holding = holdingIn(holdings, organisation)
    holding.connections++
    holding.idleTransactions += isIdleTransaction ? 1 : 0
  }
  opening.forEach((number, organisation) => { holdingIn(holdings, organisation).connections += number })
  return holdings
}

function holdingIn (holdings: Map<string, Holding>, organisation: string): Holding {
  let holding = holdings.get(organisation)
  if (holding === undefined) {
    holding = { ...NOTHING }
    holdings.set(organisation, holding)
  }
  return holding
}
