/**
 * The connections one home holds to one upstream: its share of the connections, a queue with a bound, priorities and
 * deadlines, and a reserve that keeps reads from crowding out writes.
 */
import PQueue from 'p-queue'
import { RequestError, toRequestError } from '../core/errors/index.ts'
import type { Deadline } from '../core/time/deadline.ts'
import type { Dialer } from '../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../mysql/client.ts'
import { createConcurrencyLimit } from './concurrency-limit.ts'

/** Options of {@link createConnectionPool}. */
export interface ConnectionPoolOptions {
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
export interface PoolRequest {
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
export interface PoolState {
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

/** Time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000
/** Time after which a share that was refused grows again by one, in milliseconds. */
const REGROW_MS = 2000
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
  const clients = new Set<Client>()
  const idle: Client[] = []
  let declaredShare = options.share
  let share = options.share
  let pinned = 0
  let opening = 0
  let refusedConnections = 0
  let closed = false
  const limit = createConcurrencyLimit({ initial: options.slots, maximum: () => Math.max(1, share - pinned) })

  const adjust = (): void => {
    queue.concurrency = limit.current
    reads.concurrency = Math.max(1, limit.current - 1)
    transactions.concurrency = Math.max(1, share - 1)
  }
  adjust()

  const regrow = setInterval(() => {
    share = Math.min(declaredShare, share + 1)
    adjust()
  }, REGROW_MS)
  regrow.unref()

  const shrink = (): void => {
    refusedConnections++
    share = Math.max(1, clients.size)
    adjust()
  }

  const open = async (): Promise<Client> => {
    opening++
    try {
      const client = await openClient({ access, dialer, connectTimeoutMs: CONNECT_TIMEOUT_MS })
      clients.add(client)
      client.onClose(() => {
        clients.delete(client)
        const index = idle.indexOf(client)
        if (index >= 0) {
          idle.splice(index, 1)
        }
      })
      return client
    } catch (thrown) {
      if (isTooManyConnections(thrown)) {
        shrink()
      }
      throw thrown
    } finally {
      opening--
    }
  }

  const acquire = async (): Promise<Client> => {
    const client = idle.pop()
    if (client !== undefined) {
      return client
    }
    if (clients.size + opening >= Math.max(1, share)) {
      throw refuse('all connections of this home are in use')
    }
    return await open()
  }

  const giveBack = (client: Client, reuse: boolean): void => {
    if (!reuse || closed || clients.size > share) {
      client.close()
      return
    }
    if (client.usable) {
      idle.push(client)
    }
  }

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
      giveBack(client, reuse)
    }
  }

  return {
    run: async (request, work) => {
      admit(request, queue.size + (request.access === 'read' ? reads.size : 0))
      const { priority, deadline } = request
      const inQueue = async () => await enqueue(queue, priority, deadline, async () => await runNow(deadline, work))
      return request.access === 'read' ? await enqueue(reads, priority, deadline, inQueue) : await inQueue()
    },
    pin: async (request) => {
      admit(request, transactions.size)
      return await new Promise<PinnedConnection>((resolve, reject) => {
        const hold = async (): Promise<void> => {
          request.deadline.check('not-run', `queueing for upstream ${access.name}`)
          const client = await acquire()
          pinned++
          adjust()
          await new Promise<void>((_resolve) => resolve({
            client,
            release: (reuse) => {
              pinned--
              giveBack(client, reuse)
              adjust()
              _resolve()
            }
          }))
        }
        enqueue(transactions, request.priority, request.deadline, hold, true).catch(reject)
      })
    },
    setShare: (wanted) => {
      declaredShare = wanted
      share = wanted
      adjust()
    },
    abort: () => [...clients].forEach((client) => client.close()),
    state: () => ({
      share,
      open: clients.size,
      idle: idle.length,
      pinned,
      running: queue.pending,
      queued: queue.size + reads.size + transactions.size,
      concurrency: limit.current,
      meanMs: Math.round(limit.meanMs * 100) / 100,
      refusedConnections
    }),
    close: () => {
      closed = true
      clearInterval(regrow)
      const open = [...clients]
      open.forEach((client) => client.close())
    }
  }
}

/**
 * Queues a task; it leaves the queue when its deadline passes before it starts.
 */
async function enqueue<Result> (
  queue: PQueue, priority: number, deadline: Deadline, task: () => Promise<Result>, startedIsEnough = false
): Promise<Result> {
  return await new Promise<Result>((resolve, reject) => {
    let started = false
    const timer = setTimeout(() => {
      if (!started) {
        started = true
        reject(deadline.exceeded('not-run', 'queueing for an upstream'))
      }
    }, deadline.leftMs)
    const start = async (): Promise<void> => {
      if (started) {
        return
      }
      started = true
      clearTimeout(timer)
      try {
        resolve(await task())
      } catch (thrown) {
        reject(toRequestError(thrown, startedIsEnough ? 'not-run' : 'may-have-run'))
      }
    }
    void queue.add(start, { priority })
  })
}

function isTooManyConnections (thrown: unknown): boolean {
  return thrown instanceof RequestError && /too many connections/i.test(thrown.message)
}
