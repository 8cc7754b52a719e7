/**
 * Pool of connections from this host to one upstream. Open connections, including those being opened, stay within the
 * host's maximum. At the maximum, the idle connection with the lowest expected use is closed to open one for an
 * organisation that has none available. `connection-bounds.ts` limits what one organisation holds.
 */
import { RequestError } from '../../core/errors/index.ts'
import { startAlignedInterval } from '../../core/time/aligned-interval.ts'
import type { UpstreamConnection, UpstreamPort, UpstreamTarget } from '../ports/index.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import { createConnectionBounds, isOrganised, type ConnectionBounds } from './connection-bounds.ts'
import { createConnectionLeases } from './connection-lease.ts'
import { createContentionReport } from './contention-report.ts'
import { createConnectionOpener, type ConnectionOpener } from './connection-opener.ts'
import { createConnectionWaiters } from './connection-waiters.ts'
import { createIdleConnections } from './idle-connections.ts'
import { createOrganisationUse } from './organisation-use.ts'
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
  /** Whether an organisation has an idle connection, or one may be opened without closing that of another. */
  hasRoomFor: (organisation: string) => boolean
  /**
   * Whether a request with an organisation would wait although statements run elsewhere: beyond the bounds of its
   * organisation, or since idle transactions hold all connections.
   */
  mustWait: (request: Pick<LeaseRequest, 'organisation' | 'beginsTransaction'>) => boolean
  /**
   * Leases a connection, waiting for one if necessary.
   *
   * @param request - requirements for the connection
   * @returns the lease
   * @throws RequestError with verdict `not-run` if the pool is closed, the upstream fails or the wait times out
   */
  acquire: (request: LeaseRequest) => Promise<ConnectionLease>
  /**
   * Opens a connection ahead of its use, unless the pool would exceed the number that it retains.
   *
   * @param organisation - organisation that it will serve; empty for none
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
  return new OrganisedPool(options)
}

class OrganisedPool implements UpstreamPool {
  readonly target: UpstreamTarget
  private readonly idle = createIdleConnections()
  private readonly use = createOrganisationUse()
  private readonly waiters = createConnectionWaiters()
  private readonly leases
  private readonly opener: ConnectionOpener
  private readonly contention
  private readonly stopTrimming: () => void
  private closed = false

  constructor (private readonly options: UpstreamPoolOptions) {
    const { target, port, events } = options
    this.target = target
    this.contention = createContentionReport(events.onContended)
    this.leases = createConnectionLeases({
      onRelease: (pooled) => this.putBack(pooled),
      onDiscard: () => {
        events.onClosed('failed')
        this.serveWaiters()
      },
      onTransactionResumed: () => this.serveWaiters()
    })
    this.opener = createConnectionOpener({
      target,
      port,
      onOpened: (connection, organisation) => {
        events.onAnswer()
        events.onOpened()
        this.putBack(createPooledConnection(connection, organisation, (pooled) => this.handleClosed(pooled)))
      },
      onPauseEnd: () => this.serveWaiters(),
      onFault: (fault, error) => {
        events.onFault(fault, error.message)
        this.waiters.rejectAll(error)
      }
    })
    this.stopTrimming = startAlignedInterval(() => this.trim(), TRIM_INTERVAL_MS)
  }

  get inUse (): number { return this.leases.inUse.size }
  get waiting (): number { return this.waiters.count }
  get size (): number { return this.openCount + this.opener.count }
  get hasRoom (): boolean { return this.idle.count > 0 || this.canOpen }
  hasRoomFor (organisation: string): boolean { return this.canOpen || this.idle.has(organisation) }
  private get openCount (): number { return this.idle.count + this.leases.inUse.size }
  private get isHeldByIdleTransactions (): boolean {
    return !this.hasRoom && this.inUse > 0 && this.opener.count === 0 &&
      [...this.leases.inUse].every(({ isIdleTransaction }) => isIdleTransaction)
  }

  private get canOpen (): boolean {
    return !this.closed && this.size < this.options.limits().maximum && !this.opener.isPaused
  }

  mustWait (request: Pick<LeaseRequest, 'organisation' | 'beginsTransaction'>): boolean {
    return isOrganised(request) && !this.closed && (!this.admits(request) || this.isHeldByIdleTransactions)
  }

  async acquire (request: LeaseRequest): Promise<ConnectionLease> {
    if (this.closed) {
      throw poolClosedError(this.target)
    }
    this.use.record(request.organisation ?? '')
    const ready = this.admits(request) ? this.leaseIdle(request) : undefined
    if (ready !== undefined) {
      return ready
    }
    const { target, opener } = this
    const wait = this.waiters.add(request, () => waitTimeoutError(target, request.waitMs, this.openCount, opener))
    this.serveWaiters()
    return await wait.result
  }

  async openAhead (organisation: string): Promise<boolean> {
    if (this.canOpen && this.size < this.options.limits().retained) {
      await this.opener.open(organisation)
    }
    return this.openCount > 0
  }

  close (): void {
    this.closed = true
    this.stopTrimming()
    this.idle.closeAll()
    this.waiters.rejectAll(poolClosedError(this.target))
  }

  /** Ensures that one more connection may be opened, closing an idle one if necessary. */
  private ensureCapacity (): boolean {
    if (this.closed || this.canOpen) {
      return !this.closed
    }
    if (!this.idle.closeLeastUsed(this.use.of)) {
      return false
    }
    this.contention.countReplaced()
    this.options.events.onClosed('replaced')
    return true
  }

  private leaseIdle (request: LeaseRequest): ConnectionLease | undefined {
    const ready = this.idle.takeBest(request)
    return ready && this.leases.lease(ready)
  }

  /** Whether the bounds of its organisation let a new request take a connection. */
  private admits (request: Pick<LeaseRequest, 'organisation' | 'beginsTransaction'>): boolean {
    // Without waiting requests only the bound on idle transactions can apply.
    return !isOrganised(request) || (this.waiters.count === 0 && !request.beginsTransaction) ||
      this.evaluateBounds().admits(request)
  }

  private evaluateBounds (): ConnectionBounds {
    return createConnectionBounds({
      inUse: this.leases.inUse,
      opening: this.opener.byOrganisation,
      maximum: this.options.limits().maximum,
      unserved: this.waiters.unserved(this.opener.byOrganisation),
      isShared: this.use.isShared
    })
  }

  private putBack (pooled: PooledConnection): void {
    if (this.closed) {
      pooled.connection.close()
    } else if (pooled.connection.closed) {
      this.options.events.onClosed('failed')
    } else {
      this.idle.add(pooled)
    }
    this.serveWaiters()
  }

  private serveWaiters (): void {
    if (this.waiters.count === 0) {
      return
    }
    let bounds = this.evaluateBounds()
    const takeLease = (request: LeaseRequest): ConnectionLease | undefined => {
      const lease = bounds.admits(request) ? this.leaseIdle(request) : undefined
      if (lease !== undefined) {
        bounds.count(request)
      }
      return lease
    }
    // A request that was served no longer competes, so that others may exceed their bounds.
    while (this.waiters.serve(takeLease) && this.waiters.count > 0) {
      bounds = this.evaluateBounds()
    }
    for (const request of this.waiters.unserved(this.opener.byOrganisation)) {
      if (!bounds.admits(request)) {
        continue
      }
      if (!this.ensureCapacity()) {
        this.contention.report(bounds.contenders, this.leases.inUse)
        return
      }
      bounds.count(request)
      void this.opener.open(request.organisation ?? '')
    }
  }

  private trim (): void {
    const hasSurplus = (): boolean => this.size > this.options.limits().retained
    this.idle.closeSurplus(this.leases.inUse, hasSurplus, () => this.options.events.onClosed('idle'))
    this.serveWaiters()
  }

  private handleClosed (pooled: PooledConnection): void {
    if (this.idle.remove(pooled)) {
      this.options.events.onClosed('failed')
      this.options.events.onFault('broken', 'an idle connection was closed')
    }
  }
}

function createPooledConnection (
  connection: UpstreamConnection, organisation: string, onClose: (pooled: PooledConnection) => void
): PooledConnection {
  const pooled = {
    connection, organisation, values: new Map(), prepared: new Map(), idleSince: 0, isIdleTransaction: false
  }
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
