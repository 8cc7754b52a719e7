/**
 * Connection pool of one home (a proxy that serves the group's requests) for one upstream. Combines admission control
 * (`admission.ts`), the queues (`pool-queues.ts`) and the connections (`pool-connections.ts`).
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { Client, UpstreamAccess } from '../../mysql/client.ts'
import { findRefusalReason, isTooLateToStart, retryAfterMs } from './admission.ts'
import { createPoolConnections, type PinnedConnection } from './pool-connections.ts'
import { createPoolQueues, type PoolRequest } from './pool-queues.ts'

/** Options of {@link createConnectionPool}. */
interface ConnectionPoolOptions {
  group: string
  access: UpstreamAccess
  dialer: Dialer
  /** Maximum number of connections of this home. */
  share: number
  /** Initial value of the adaptive concurrency limit. */
  initialConcurrency: number
  /** Maximum number of queued requests. */
  queueCapacity: number
}

/** State of a pool, for diagnostics. */
interface PoolState {
  share: number
  open: number
  idle: number
  pinned: number
  running: number
  queued: number
  concurrency: number
  meanMs: number
  refusedConnections: number
}

/** Connection pool for one upstream. */
export interface ConnectionPool {
  /**
   * Runs work on a connection. Refuses it immediately when the queue is full or the deadline is unlikely to be met.
   *
   * @param request - access, priority and deadline
   * @param work - the work; must throw when the state of the connection is unknown
   * @returns the result of the work
   * @throws RequestError with verdict `not-run` when the work was not started
   */
  run: <Result>(request: PoolRequest, work: (client: Client) => Promise<Result>) => Promise<Result>
  /** Reserves a connection for a transaction until it is released. */
  pin: (request: PoolRequest) => Promise<PinnedConnection>
  /** Changes the maximum number of connections of this home. */
  setShare: (share: number) => void
  /** Closes all connections, which fails the work in progress. */
  abort: () => void
  state: () => PoolState
  close: () => void
}

/**
 * Creates a connection pool.
 *
 * @param options - the upstream and the limits of the pool
 * @returns the pool; connections are opened on demand
 */
export function createConnectionPool (options: ConnectionPoolOptions): ConnectionPool {
  const { group, access, queueCapacity: capacity } = options
  const queues = createPoolQueues()
  let closed = false

  const refuse = (reason: string): RequestError =>
    new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs: retryAfterMs(queues.waiting, throughput()) })
  const connections = createPoolConnections({ ...options, refuse, onChange: () => updateConcurrency() })
  const throughput = () => ({ meanMs: connections.meanMs, concurrency: queues.concurrency })
  /** Applies the current concurrency limit and share to the queues. */
  const updateConcurrency = (): void => queues.setConcurrency(connections.concurrency, connections.share)
  updateConcurrency()
  /**
   * Whether the statement that starts now may run regardless of the mean latency, because the mean is stale. Without
   * such a statement, a pool whose upstream was slow would refuse every statement and never measure the latency again.
   */
  const isLatencyProbe = (): boolean => connections.isMeanStale && queues.running <= 1

  const admit = ({ deadline }: PoolRequest, waiting: number): void => {
    const request = { ...throughput(), upstream: access.name, waiting, capacity, remainingMs: deadline.leftMs }
    const reason = closed ? 'the pool is closed' : findRefusalReason(request)
    if (reason !== undefined) {
      throw refuse(reason)
    }
  }

  return {
    run: async (request, work) => {
      admit(request, queues.waitingBefore(request.access))
      return await queues.run(request, async () => {
        if (!isLatencyProbe() && isTooLateToStart(request.deadline.leftMs, connections.meanMs)) {
          throw refuse(`too little time is left to run it on ${access.name}`)
        }
        return await connections.run(work)
      })
    },
    pin: async (request) => {
      admit(request, queues.waitingTransactions)
      return await new Promise<PinnedConnection>((resolve, reject) => {
        queues.pin(request, async () => {
          request.deadline.check('not-run', `queueing for upstream ${access.name}`)
          await connections.pin(resolve)
        }).catch(reject)
      })
    },
    setShare: connections.setShare,
    abort: connections.abort,
    state: () => ({
      share: connections.share,
      open: connections.open,
      idle: connections.idle,
      pinned: connections.pinned,
      running: queues.running,
      queued: queues.queued,
      concurrency: connections.concurrency,
      meanMs: Math.round(connections.meanMs * 100) / 100,
      refusedConnections: connections.refused
    }),
    close: () => {
      closed = true
      connections.close()
    }
  }
}
