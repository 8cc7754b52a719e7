/**
 * The open transactions of one group at one home. Owns them and the connection that each holds: a transaction leaves
 * the table when it ends, when its connection breaks, or when it has been open for too long.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { PinnedConnection } from '../upstreams/pool-connections.ts'
import type { WriteTarget } from './primary-work.ts'

/** An open transaction. */
export interface OpenTransaction {
  service: string
  pinned: PinnedConnection
  target: WriteTarget
  /** Statements that have run. */
  statements: number
  /** Whether a statement or the end is in progress. */
  busy: boolean
  expiry: NodeJS.Timeout
}

/** Open transactions by id. */
export interface TransactionTable {
  /** Number of open transactions. */
  readonly size: number
  /** Adds a transaction; it ends by itself after the longest time that one may stay open. */
  add: (id: string, transaction: Pick<OpenTransaction, 'service' | 'pinned' | 'target'>) => void
  get: (id: string) => OpenTransaction | undefined
  /**
   * Returns an open transaction.
   *
   * @param id - its identity
   * @throws RequestError `TransactionLost` when it is not open here
   */
  find: (id: string) => OpenTransaction
  /**
   * Runs one step of a transaction. When the connection breaks in it, the transaction is over.
   *
   * @param id - identity of the transaction
   * @param work - the step
   * @returns what the step returned
   * @throws RequestError `TransactionLost` when the transaction is over or another step is in progress
   */
  step: <Result>(id: string, work: (transaction: OpenTransaction) => Promise<Result>) => Promise<Result>
  /**
   * Removes a transaction and gives its connection back.
   *
   * @param id - its identity
   * @param reuse - false when the connection's state is in doubt, so that it is closed and the upstream rolls back
   */
  end: (id: string, reuse: boolean) => void
  /** Rolls everything back. */
  close: () => void
}

/**
 * Creates a table without transactions.
 *
 * @param greatestMs - returns the longest time that a transaction may stay open, in milliseconds
 * @returns the table
 */
export function createTransactionTable (greatestMs: () => number): TransactionTable {
  const open = new Map<string, OpenTransaction>()

  const find = (id: string): OpenTransaction => {
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
      const expiry = setTimeout(() => end(id, false), greatestMs())
      open.set(id, { service, pinned, target, statements: 0, busy: false, expiry })
    },
    get: (id) => open.get(id),
    find,
    step: async (id, work) => {
      const transaction = find(id)
      if (transaction.busy) {
        throw transactionLost('two statements came at once')
      }
      transaction.busy = true
      try {
        return await work(transaction)
      } catch (thrown) {
        if (!transaction.pinned.client.usable && thrown instanceof RequestError && thrown.verdict === 'not-run') {
          end(id, false)
          throw transactionLost(thrown.message)
        }
        throw thrown
      } finally {
        transaction.busy = false
      }
    },
    end,
    close: () => [...open.keys()].forEach((id) => end(id, false))
  }
}

/**
 * Builds the error of a transaction that was rolled back.
 *
 * @param reason - why
 * @returns the error, with verdict `not-run`
 */
export function transactionLost (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}
