/**
 * The queues of a connection pool: all statements, the reads among them, and transactions, which only wait for a
 * connection. Owns the queues; reads run one fewer at a time than all, so that they cannot crowd out writes.
 */
import PQueue from 'p-queue'
import type { Deadline } from '../../core/time/deadline.ts'
import { enqueue } from './deadline-queue.ts'

/** What a piece of work needs from the pool. */
export interface PoolRequest {
  access: 'read' | 'write'
  /** Higher goes first. */
  priority: number
  deadline: Deadline
}

/** Queues of a pool. */
interface PoolQueues {
  /** Statements that run at a time. */
  readonly concurrency: number
  /** Statements that wait for the last queue. */
  readonly waiting: number
  /** Statements in progress. */
  readonly running: number
  /** All that wait, transactions included. */
  readonly queued: number
  /** Statements that a request would wait behind. */
  waitingBefore: (access: PoolRequest['access']) => number
  /** Transactions that wait for a connection. */
  readonly waitingTransactions: number
  /** Queues a statement; see `enqueue`. */
  run: <Result>(request: PoolRequest, work: () => Promise<Result>) => Promise<Result>
  /** Queues a transaction, which holds its place until `hold` returns. */
  pin: (request: PoolRequest, hold: () => Promise<void>) => Promise<void>
  /**
   * Changes how many run at a time.
   *
   * @param statements - statements
   * @param connections - connections that may be held
   */
  adjust: (statements: number, connections: number) => void
}

/**
 * Creates empty queues.
 *
 * @returns the queues; one of each runs at a time
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
      await enqueue(transactions, { priority, deadline, run: hold, onlyTakesConnection: true }),
    adjust: (statements, connections) => {
      all.concurrency = statements
      reads.concurrency = Math.max(1, statements - 1)
      transactions.concurrency = Math.max(1, connections - 1)
    }
  }
}
