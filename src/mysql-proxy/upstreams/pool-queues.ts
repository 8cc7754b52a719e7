/**
 * Queues of a connection pool. Reads pass through a queue of their own, whose concurrency is one lower, before they
 * enter the queue of all statements, so that they cannot starve writes. Transactions queue for a connection only.
 */
import PQueue from 'p-queue'
import type { Deadline } from '../../core/time/deadline.ts'
import { enqueue } from './deadline-queue.ts'

/** Access, priority and deadline of work submitted to a pool. */
export interface PoolRequest {
  access: 'read' | 'write'
  /** Requests with a higher priority start first. */
  priority: number
  deadline: Deadline
}

/** Queues of a pool. */
interface PoolQueues {
  /** Maximum number of concurrent statements. */
  readonly concurrency: number
  /** Statements in the queue of all statements. */
  readonly waiting: number
  /** Statements in progress. */
  readonly running: number
  /** Statements and transactions in all queues. */
  readonly queued: number
  /** Returns the number of statements queued before a new request. */
  waitingBefore: (access: PoolRequest['access']) => number
  /** Transactions queued for a connection. */
  readonly waitingTransactions: number
  /** Queues a statement; rejects like {@link enqueue}. */
  run: <Result>(request: PoolRequest, work: () => Promise<Result>) => Promise<Result>
  /** Queues a transaction; it occupies one of the concurrent transactions until the promise of `hold` settles. */
  pin: (request: PoolRequest, hold: () => Promise<void>) => Promise<void>
  /**
   * Sets the concurrency of all queues. Transactions may use all connections but one, and at least one.
   *
   * @param statements - maximum number of concurrent statements
   * @param connections - maximum number of connections
   */
  setConcurrency: (statements: number, connections: number) => void
}

/**
 * Creates empty queues.
 *
 * @returns the queues, each with a concurrency of 1
 */
export function createPoolQueues (): PoolQueues {
  const all = new PQueue({ concurrency: 1 })
  const reads = new PQueue({ concurrency: 1 })
  const transactions = new PQueue({ concurrency: 1 })
  return {
    get concurrency () { return all.concurrency },
    get waiting () { return all.size },
    get running () { return all.pending },
    get queued () { return all.size + reads.size + transactions.size },
    waitingBefore: (access) => all.size + (access === 'read' ? reads.size : 0),
    get waitingTransactions () { return transactions.size },
    run: async ({ access, priority, deadline }, work) => {
      const runInAll = async () => await enqueue(all, { priority, deadline, run: work })
      return access === 'read' ? await enqueue(reads, { priority, deadline, run: runInAll }) : await runInAll()
    },
    pin: async ({ priority, deadline }, hold) =>
      await enqueue(transactions, { priority, deadline, run: hold, onlyAcquiresConnection: true }),
    setConcurrency: (statements, connections) => {
      all.concurrency = statements
      reads.concurrency = Math.max(1, statements - 1)
      transactions.concurrency = Math.max(1, connections - 1)
    }
  }
}
