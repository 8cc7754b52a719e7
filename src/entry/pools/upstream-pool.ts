/**
 * Pool of connections from this host to one upstream. Open connections, including those being opened, stay within the
 * host's maximum. At the maximum, the connection that has been idle longest is closed to open one for an organisation
 * that has none available.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { UpstreamConnection, UpstreamPort, UpstreamTarget } from '../ports/index.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import { createConnectionLeases } from './connection-lease.ts'
import { createConnectionOpener, type ConnectionOpener } from './connection-opener.ts'
import { createConnectionWaiters } from './connection-waiters.ts'
import { createIdleConnections } from './idle-connections.ts'
import type { ConnectionLease, LeaseRequest, PooledConnection, PoolEvents } from './types.ts'

/** Interval of the check for surplus connections, in milliseconds. */
const TRIM_INTERVAL_MS = 1000

/** Options of {@link createUpstreamPool}. */
interface UpstreamPoolOptions {
  target: UpstreamTarget
  port: UpstreamPort
  /** Limits of this host; evaluated whenever a connection may be opened or closed. */
  limits: () => ConnectionLimits
  events: PoolEvents
}

/** Connection pool of one upstream. */
export interface UpstreamPool {
  readonly target: UpstreamTarget
  /** Number of leased connections. */
  readonly inUse: number
  readonly waiting: number
  /** Number of open connections, including those being opened. */
  readonly size: number
  /** Whether a connection is idle or may be opened. */
  readonly hasRoom: boolean
  /**
   * Leases a connection, waiting for one if necessary.
   *
   * @param request - requirements for the connection
   * @returns the lease
   * @throws RequestError with verdict `not-run` if the pool is closed, the upstream fails or the wait times out
   */
  acquire: (request: LeaseRequest) => Promise<ConnectionLease>
  /**
   * Opens a connection ahead of its use, unless the maximum is reached.
   *
   * @param organisation - organisation that the connection serves; empty for none
   * @returns whether a connection is open afterwards
   */
  openAhead: (organisation: string) => Promise<boolean>
  /** Rejects new and waiting requests; leased connections are closed when they are returned. */
  close: () => void
}

/**
 * Creates the connection pool of an upstream.
 *
 * @param options - the upstream, its port, limits and events
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
  const canOpen = (): boolean => !closed && size() < options.limits().maximum && !opener.isPaused
  /** Ensures that one more connection may be opened, closing an idle one if necessary. */
  const ensureCapacity = (): boolean => !closed && (canOpen() || idle.closeLongestIdle())

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
      if (!ensureCapacity()) {
        return
      }
      void opener.open(organisation)
    }
  }
  const handleClosed = (pooled: PooledConnection): void => {
    if (idle.remove(pooled)) {
      events.onFault('broken', 'an idle connection was closed')
    }
  }
  const opener = createConnectionOpener({
    target,
    port,
    onOpened: (connection, organisation) => {
      events.onAnswer()
      putBack(createPooledConnection(connection, organisation, handleClosed))
    },
    onPauseEnd: () => serveWaiters(),
    onFault: (fault, error) => {
      events.onFault(fault, error.message)
      waiters.rejectAll(error)
    }
  })
  const trimTimer = setInterval(() => {
    idle.closeSurplus(leases.inUse, () => size() > options.limits().retained)
    serveWaiters()
  }, TRIM_INTERVAL_MS).unref()

  return {
    target,
    get inUse () { return leases.inUse.size },
    get waiting () { return waiters.count },
    get size () { return size() },
    get hasRoom () { return idle.count > 0 || canOpen() },
    acquire: async (request) => {
      if (closed) {
        throw poolClosedError(target)
      }
      const ready = leaseIdle(request)
      if (ready !== undefined) {
        return ready
      }
      const wait = waiters.add(request, () => waitTimeoutError(target, request.waitMs, openCount(), opener))
      serveWaiters()
      return await wait.result
    },
    openAhead: async (organisation) => await openAhead(organisation, opener, canOpen, openCount),
    close: () => {
      closed = true
      clearInterval(trimTimer)
      idle.closeAll()
      waiters.rejectAll(poolClosedError(target))
    }
  }
}

async function openAhead (
  organisation: string, opener: Pick<ConnectionOpener, 'open'>, canOpen: () => boolean, openCount: () => number
): Promise<boolean> {
  if (canOpen()) {
    await opener.open(organisation)
  }
  return openCount() > 0
}

function createPooledConnection (
  connection: UpstreamConnection, organisation: string, onClose: (pooled: PooledConnection) => void
): PooledConnection {
  const pooled = { connection, organisation, values: new Map(), prepared: new Map(), idleSince: 0 }
  connection.onClose(() => onClose(pooled))
  return pooled
}

function poolClosedError ({ upstream }: UpstreamTarget): RequestError {
  return new RequestError('not-run', 'ConnectionLost', { upstream, reason: 'it is leaving' })
}

/** Reports the upstream as unreachable if no connection is open and it wasn't full recently, else as overloaded. */
function waitTimeoutError (
  { group, upstream }: UpstreamTarget, waitMs: number, open: number, { wasFullRecently }: ConnectionOpener
): RequestError {
  return open === 0 && !wasFullRecently
    ? new RequestError('not-run', 'ConnectionLost', { upstream, reason: 'it cannot be reached in time' })
    : new RequestError('not-run', 'Overloaded', {
      group, reason: `no connection to ${upstream} in time`, retryAfterMs: Math.round(waitMs)
    })
}
