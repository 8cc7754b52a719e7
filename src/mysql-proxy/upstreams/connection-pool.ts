/**
 * The connections one home holds to one upstream: its share of the connections, a queue with a bound, priorities and
 * deadlines, and a reserve that keeps reads from crowding out writes.
 */
import PQueue from 'p-queue'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { Client, UpstreamAccess } from '../../mysql/client.ts'
import { createClientSet } from './client-set.ts'
import { createConcurrencyLimit } from './concurrency-limit.ts'
import { enqueue } from './deadline-queue.ts'

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

/** What a piece of work needs from the pool. */
interface PoolRequest {
  access: 'read' | 'write'
  /** Higher goes first. */
  priority: number
  deadline: Deadline
}

/** A connection held across several statements. */
export interface PinnedConnection {
  client: Client
  /**
   * Gives the connection back.
   *
   * @param reuse - false when its state is in doubt, so that it is closed
   */
  release: (reuse: boolean) => void
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

/** Longest time a caller is told to stay away, in milliseconds. */
const MAXIMUM_RETRY_AFTER_MS = 1000
const FIRST_GUESS_MS = 1
/** Part of a request's time that it may expect to queue; the rest is for running it, and for a wrong expectation. */
const QUEUEING_SHARE = 0.5
/** Times the mean latency that must be left when a request starts; otherwise it would be cut off in the middle. */
const TIME_TO_RUN = 2

/**
 * Creates a pool.
 *
 * @param options - upstream and sizes
 * @returns the pool; connections are opened when needed
 */
export function createConnectionPool (options: ConnectionPoolOptions): ConnectionPool {
  const { group, access, dialer } = options
  const queue = new PQueue({ concurrency: 1 })
  const reads = new PQueue({ concurrency: 1 })
  const transactions = new PQueue({ concurrency: 1 })
  let pinned = 0
  let closed = false

  const clients = createClientSet({ access, dialer, share: options.share, onShareChange: () => adjust() })
  const limit = createConcurrencyLimit({ initial: options.slots, maximum: () => Math.max(1, clients.share - pinned) })
  /** Brings the queues in line with the limit, the share and what transactions hold. */
  const adjust = (): void => {
    queue.concurrency = limit.current
    reads.concurrency = Math.max(1, limit.current - 1)
    transactions.concurrency = Math.max(1, clients.share - 1)
  }
  adjust()

  const expectedWaitMs = (waiting: number): number =>
    (waiting * (limit.meanMs || FIRST_GUESS_MS)) / Math.max(1, queue.concurrency)
  const refuse = (reason: string): RequestError => {
    const expected = Math.ceil(expectedWaitMs(queue.size + 1))
    const retryAfterMs = Math.max(1, Math.min(MAXIMUM_RETRY_AFTER_MS, expected))
    return new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs })
  }
  const admit = ({ deadline }: PoolRequest, waiting: number): void => {
    if (closed) {
      throw refuse('the pool is closed')
    }
    if (waiting >= options.queue) {
      throw refuse(`${waiting} requests wait for ${access.name} already`)
    }
    if (waiting > 0 && expectedWaitMs(waiting) > deadline.leftMs * QUEUEING_SHARE) {
      throw refuse(`the queue for ${access.name} is too long for the deadline`)
    }
  }
  const acquire = async (): Promise<Client> => {
    const taken = clients.take()
    if (taken === undefined) {
      throw refuse('all connections of this home are in use')
    }
    return await taken
  }
  const runNow = async <Result>(deadline: Deadline, work: (client: Client) => Promise<Result>): Promise<Result> => {
    if (deadline.leftMs < limit.meanMs * TIME_TO_RUN) {
      throw refuse(`too little time is left to run it on ${access.name}`)
    }
    const client = await acquire()
    const startedAt = performance.now()
    let reuse = false
    try {
      const result = await work(client)
      reuse = true
      return result
    } catch (thrown) {
      reuse = thrown instanceof RequestError && thrown.entry === 'StatementFailed'
      throw thrown
    } finally {
      limit.record(performance.now() - startedAt)
      adjust()
      clients.giveBack(client, reuse)
    }
  }
  /** Takes a connection, tells who asked for it, and ends when it has been given back. */
  const hold = async (deadline: Deadline, onHeld: (held: PinnedConnection) => void): Promise<void> => {
    deadline.check('not-run', `queueing for upstream ${access.name}`)
    const client = await acquire()
    pinned++
    adjust()
    await new Promise<void>((resolve) => onHeld({
      client,
      release: (reuse) => {
        pinned--
        clients.giveBack(client, reuse)
        adjust()
        resolve()
      }
    }))
  }

  return {
    run: async (request, work) => {
      admit(request, queue.size + (request.access === 'read' ? reads.size : 0))
      const { priority, deadline } = request
      const run = async () => await runNow(deadline, work)
      const inQueue = async () => await enqueue(queue, { priority, deadline, run })
      return request.access === 'read' ? await enqueue(reads, { priority, deadline, run: inQueue }) : await inQueue()
    },
    pin: async (request) => {
      admit(request, transactions.size)
      const { priority, deadline } = request
      return await new Promise<PinnedConnection>((resolve, reject) => {
        const run = async () => await hold(deadline, resolve)
        enqueue(transactions, { priority, deadline, run, onlyTakesConnection: true }).catch(reject)
      })
    },
    setShare: clients.setShare,
    abort: clients.abort,
    state: () => ({
      share: clients.share,
      open: clients.open,
      idle: clients.idle,
      pinned,
      running: queue.pending,
      queued: queue.size + reads.size + transactions.size,
      concurrency: limit.current,
      meanMs: Math.round(limit.meanMs * 100) / 100,
      refusedConnections: clients.refused
    }),
    close: () => {
      closed = true
      clients.close()
    }
  }
}
