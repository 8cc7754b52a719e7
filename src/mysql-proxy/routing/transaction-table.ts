/**
 * The open transactions of one group at one home, each with its pinned connection. A transaction is removed when it
 * ends, when its connection is lost, or when it exceeds the longest time that a transaction may stay open.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { PinnedConnection } from '../upstreams/pool-connections.ts'
import type { WriteTarget } from './primary-work.ts'

/** An open transaction and its connection. */
export interface OpenTransaction {
  service: string
  pinned: PinnedConnection
  target: WriteTarget
  /** Number of statements that have run. */
  statements: number
  /** Whether a statement or the commit is in progress. */
  isStepRunning: boolean
  expiry: NodeJS.Timeout
}

/** Open transactions by identifier. */
export interface TransactionTable {
  readonly size: number
  /** Adds a transaction, and schedules its expiry. */
  add: (id: string, transaction: Pick<OpenTransaction, 'service' | 'pinned' | 'target'>) => void
  get: (id: string) => OpenTransaction | undefined
  /**
   * Returns an open transaction.
   *
   * @param id - identifier of the transaction
   * @throws RequestError `TransactionLost` when it isn't open at this home
   */
  findOrThrow: (id: string) => OpenTransaction
  /**
   * Runs one step of a transaction. Removes the transaction if its connection is lost.
   *
   * @param id - identifier of the transaction
   * @param work - the step
   * @returns the result of the step
   * @throws RequestError `TransactionLost` when the transaction has ended or another step is in progress
   */
  runStep: <Result>(id: string, work: (transaction: OpenTransaction) => Promise<Result>) => Promise<Result>
  /**
   * Removes a transaction and releases its connection.
   *
   * @param id - identifier of the transaction
   * @param reuse - whether the connection can be reused; otherwise it is closed, and the upstream rolls back
   */
  end: (id: string, reuse: boolean) => void
  /** Rolls back all transactions. */
  close: () => void
}

/**
 * Creates an empty transaction table.
 *
 * @param maximumOpenMs - returns the longest time that a transaction may stay open, in milliseconds
 * @returns the table
 */
export function createTransactionTable (maximumOpenMs: () => number): TransactionTable {
  const open = new Map<string, OpenTransaction>()

  const findOrThrow = (id: string): OpenTransaction => {
    const transaction = open.get(id)
    if (transaction === undefined) {
      throw transactionLost('it is not open here any more')
    }
    return transaction
  }

  const end = (id: string, reuse: boolean): void => {
    const transaction = open.get(id)
    if (transaction !== undefined) {
      open.delete(id)
      clearTimeout(transaction.expiry)
      transaction.pinned.release(reuse)
    }
  }

  return {
    get size () { return open.size },
    add: (id, { service, pinned, target }) => {
      const expiry = setTimeout(() => end(id, false), maximumOpenMs())
      open.set(id, { service, pinned, target, statements: 0, isStepRunning: false, expiry })
    },
    get: (id) => open.get(id),
    findOrThrow,
    runStep: async (id, work) => {
      const transaction = findOrThrow(id)
      if (transaction.isStepRunning) {
        throw transactionLost('two statements came at once')
      }
      transaction.isStepRunning = true
      try {
        return await work(transaction)
      } catch (thrown) {
        if (!transaction.pinned.client.usable && thrown instanceof RequestError && thrown.verdict === 'not-run') {
          end(id, false)
          throw transactionLost(thrown.message)
        }
        throw thrown
      } finally {
        transaction.isStepRunning = false
      }
    },
    end,
    close: () => [...open.keys()].forEach((id) => end(id, false))
  }
}

/**
 * Creates the error of a transaction that was rolled back.
 *
 * @param reason - why it was rolled back
 * @returns the error, with verdict `not-run`
 */
export function transactionLost (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}
