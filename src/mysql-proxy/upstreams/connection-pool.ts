/**
 * The connections one home holds to one upstream: wires queues (`pool-queues.ts`), connections at work
 * (`pool-connections.ts`) and the rule of admission (`admission.ts`).
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { Client, UpstreamAccess } from '../../mysql/client.ts'
import { findRefusal, isTooLateToStart, retryAfterMs } from './admission.ts'
import { createPoolConnections, type PinnedConnection } from './pool-connections.ts'
import { createPoolQueues, type PoolRequest } from './pool-queues.ts'

/** Options of {@link createConnectionPool}. */
interface ConnectionPoolOptions {
  group: string
  access: UpstreamAccess
  dialer: Dialer
  /** Connections this home may hold. */
  share: number
  /** Statements the upstream executes at a time; where the adaptive limit starts. */
  slots: number
  /** Requests that may queue. */
  queue: number
}

/** State of a pool, for dumps. */
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

/** Connections to one upstream. */
export interface ConnectionPool {
  /**
   * Runs work on a connection. What cannot be done in time is refused at once.
   *
   * @param request - needs of the work
   * @param work - the work; it must throw when the connection's state is in doubt
   * @returns what the work returned
   * @throws RequestError with verdict `not-run` when the work was not started
   */
  run: <Result>(request: PoolRequest, work: (client: Client) => Promise<Result>) => Promise<Result>
  /** Takes a connection for a transaction. */
  pin: (request: PoolRequest) => Promise<PinnedConnection>
  /** Changes the number of connections this home may hold. */
  setShare: (share: number) => void
  /** Breaks all connections, so that work in progress ends now. */
  abort: () => void
  state: () => PoolState
  close: () => void
}

/**
 * Creates a pool.
 *
 * @param options - upstream and sizes
 * @returns the pool; connections are opened when needed
 */
export function createConnectionPool (options: ConnectionPoolOptions): ConnectionPool {
  const { group, access, queue: bound } = options
  const queues = createPoolQueues()
  let closed = false

  const refuse = (reason: string): RequestError =>
    new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs: retryAfterMs(queues.waiting, pace()) })
  const connections = createPoolConnections({ ...options, refuse, onChange: () => adjust() })
  const pace = () => ({ meanMs: connections.meanMs, concurrency: queues.concurrency })
  /** Brings the queues in line with the limit, the share and what transactions hold. */
  const adjust = (): void => queues.adjust(connections.concurrency, connections.share)
  adjust()
  /**
   * Whether the statement that starts now is to measure the mean anew, alone. Otherwise an upstream that was slow once
   * would get no statement any more, and so none that shows that it is fast again.
   */
  const measuresMean = (): boolean => connections.isMeanOutOfDate && queues.running <= 1

  const admit = ({ deadline }: PoolRequest, waiting: number): void => {
    const request = { ...pace(), upstream: access.name, waiting, bound, leftMs: deadline.leftMs }
    const reason = closed ? 'the pool is closed' : findRefusal(request)
    if (reason !== undefined) {
      throw refuse(reason)
    }
  }

  return {
    run: async (request, work) => {
      admit(request, queues.waitingBefore(request.access))
      return await queues.run(request, async () => {
        if (!measuresMean() && isTooLateToStart(request.deadline.leftMs, connections.meanMs)) {
          throw refuse(`too little time is left to run it on ${access.name}`)
        }
        return await connections.use(work)
      })
    },
    pin: async (request) => {
      admit(request, queues.waitingTransactions)
      return await new Promise<PinnedConnection>((resolve, reject) => {
        queues.pin(request, async () => {
          request.deadline.check('not-run', `queueing for upstream ${access.name}`)
          await connections.hold(resolve)
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
