/**
 * Connections of this host to one upstream: leases them, opens as many as this host's share allows, and closes idle
 * ones.
 * Relies on idle-connections.ts (which one serves a request), connection-waiters.ts (who gets the next one),
 * connection-opener.ts (what a failed attempt means) and connection-lease.ts (which ones are in use).
 *
 * Rule for a new connection: open connections, those being opened included, stay within the share; an organisation for
 * which none is open takes the place of the connection that has been idle for longest.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { UpstreamConnection, UpstreamPort, UpstreamTarget } from '../ports/index.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import { createConnectionLeases } from './connection-lease.ts'
import { createConnectionOpener, type ConnectionOpener } from './connection-opener.ts'
import { createConnectionWaiters } from './connection-waiters.ts'
import { createIdleConnections } from './idle-connections.ts'
import type { ConnectionLease, LeaseRequest, PooledConnection, PoolEvents } from './types.ts'

/** Time between two looks for surplus connections, in milliseconds. */
const TRIM_MS = 1000

/** Options of {@link createUpstreamPool}. */
interface UpstreamPoolOptions {
  target: UpstreamTarget
  port: UpstreamPort
  /** Connections that this host may have; evaluated whenever one is opened or closed. */
  limits: () => ConnectionLimits
  events: PoolEvents
}

/** Connections of this host to one upstream. */
export interface UpstreamPool {
  readonly target: UpstreamTarget
  /** Statements and transactions that hold a connection. */
  readonly inUse: number
  readonly waiting: number
  /** Open connections, those being opened included. */
  readonly size: number
  /** Whether a new user would get a connection at once, opening one included. */
  readonly hasRoom: boolean
  /**
   * Takes a connection.
   *
   * @param request - what the user needs
   * @returns the lease
   * @throws RequestError with verdict `not-run`
   */
  acquire: (request: LeaseRequest) => Promise<ConnectionLease>
  /** Closes every connection that is in use. */
  abortInUse: () => void
  /** Takes no new users; connections close as they come back. */
  close: () => void
}

/**
 * Creates a pool.
 *
 * @param options - the upstream and the limits
 * @returns the pool
 */
export function createUpstreamPool (options: UpstreamPoolOptions): UpstreamPool {
  const { target, port, events } = options
  const idle = createIdleConnections()
  const waiters = createConnectionWaiters()
  const leases = createConnectionLeases({ onRelease: (pooled) => putBack(pooled), onDiscard: () => serveWaiters() })
  let closed = false

  const openCount = (): number => idle.count + leases.inUse.size
  const size = (): number => openCount() + opener.count
  const mayOpen = (): boolean => !closed && size() < options.limits().share && !opener.isPaused
  /** Makes room for one more connection, also by closing an idle one. */
  const makeRoom = (): boolean => !closed && (mayOpen() || idle.closeLongestIdle())

  const leaseIdle = (request: LeaseRequest): ConnectionLease | undefined => {
    const ready = idle.takeBest(request)
    return ready && leases.lease(ready)
  }
  const putBack = (pooled: PooledConnection): void => {
    closed || pooled.connection.closed ? pooled.connection.close() : idle.add(pooled)
    serveWaiters()
  }
  const serveWaiters = (): void => {
    waiters.serve(leaseIdle)
    for (const organisation of waiters.unservedOrganisations(opener.byOrganisation)) {
      if (!makeRoom()) {
        return
      }
      void opener.open(organisation)
    }
  }
  const takeClosed = (pooled: PooledConnection): void => {
    if (idle.remove(pooled)) {
      events.onFault('broken', 'an idle connection was closed')
    }
  }
  const opener = createConnectionOpener({
    target,
    port,
    onOpened: (connection, organisation) => {
      events.onAnswer()
      putBack(pooledOf(connection, organisation, takeClosed))
    },
    onPauseOver: () => serveWaiters(),
    onFault: (fault, error) => {
      events.onFault(fault, error.message)
      waiters.rejectAll(error)
    }
  })
  const trim = setInterval(() => {
    idle.closeSurplus(leases.inUse, () => size() > options.limits().kept)
    serveWaiters()
  }, TRIM_MS).unref()

  return {
    target,
    get inUse () { return leases.inUse.size },
    get waiting () { return waiters.count },
    get size () { return size() },
    get hasRoom () { return idle.count > 0 || mayOpen() },
    acquire: async (request) => {
      if (closed) {
        throw leaving(target)
      }
      const ready = leaseIdle(request)
      if (ready !== undefined) {
        return ready
      }
      const wait = waiters.add(request, () => waitedTooLong(target, request.waitMs, openCount(), opener))
      serveWaiters()
      return await wait.result
    },
    abortInUse: leases.abort,
    close: () => {
      closed = true
      clearInterval(trim)
      idle.closeAll()
      waiters.rejectAll(leaving(target))
    }
  }
}

function pooledOf (
  connection: UpstreamConnection, organisation: string, onClose: (pooled: PooledConnection) => void
): PooledConnection {
  const pooled = { connection, organisation, values: new Map(), prepared: new Map(), idleSince: 0 }
  connection.onClose(() => onClose(pooled))
  return pooled
}

function leaving ({ upstream }: UpstreamTarget): RequestError {
  return new RequestError('not-run', 'ConnectionLost', { upstream, reason: 'it is leaving' })
}

/** Without any connection, and with room for one, the upstream is hard to reach; otherwise it has too much to do. */
function waitedTooLong (
  { group, upstream }: UpstreamTarget, waitMs: number, open: number, { hadNoRoomLately }: ConnectionOpener
): RequestError {
  return open === 0 && !hadNoRoomLately
    ? new RequestError('not-run', 'ConnectionLost', { upstream, reason: 'it cannot be reached in time' })
    : new RequestError('not-run', 'Overloaded', {
      group, reason: `no connection to ${upstream} in time`, retryAfterMs: Math.round(waitMs)
    })
}
