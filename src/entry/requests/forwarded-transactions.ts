/**
 * Transactions that this host, as a home, holds open for other hosts. One ends when its host commits it or rolls it
 * back, when it is idle for too long, when the link to its host closes, or when this host stops.
 */
import { randomInt } from 'node:crypto'
import { RequestError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { PeerLink } from '../../peers/types.ts'
import type { StatementAnswer } from '../ports/index.ts'
import type { StatementExecutor } from './statement-executor.ts'
import { STOP_POLL_MS } from './stop-sessions.ts'
import { endTransaction, leavesTransactionOpen } from './transaction-steps.ts'
import type { RequestScope } from './types.ts'

/** Range of a process's first transaction number; large, so that no number of an earlier process is used again. */
const FIRST_NUMBER_RANGE = 2 ** 47
const STOP_REASON = 'this host is stopping'

/** A transaction that is open for another host. */
interface ForwardedTransaction {
  executor: StatementExecutor
  scope: RequestScope
  idleTimer?: NodeJS.Timeout
  running: boolean
}

/** Options of {@link createForwardedTransactions}. */
interface ForwardedTransactionsOptions {
  logger: Logger
  /** Maximum idle time of a transaction between two steps, in milliseconds. */
  idleMs: () => number
  /** Number of the first transaction; random by default. */
  firstNumber?: number
}

/** Registry of the transactions that are open for other hosts, by number. */
export interface ForwardedTransactions {
  readonly size: number
  /** Returns the executor of a transaction; undefined if it is not open. */
  executorOf: (number: number) => StatementExecutor | undefined
  /**
   * Adds a transaction if it is still open after its first step, and rolls it back when the link closes.
   *
   * @param executor - executor that holds it
   * @param scope - request that began it
   * @param answer - answer to its first step
   * @param link - link to its host
   * @returns its number; undefined if it is no longer open
   */
  add: (
    executor: StatementExecutor, scope: RequestScope, answer: StatementAnswer, link: PeerLink
  ) => Promise<number | undefined>
  /**
   * Reserves an open transaction for a step and stops its idle timer.
   *
   * @param number - its number
   * @returns the transaction
   * @throws RequestError `TransactionLost` if it has ended, cannot continue or is running another step
   */
  claim: (number: number) => Promise<ForwardedTransaction>
  /**
   * Finishes a step: keeps the transaction if it is still open, otherwise ends it.
   *
   * @returns its number; undefined if it is no longer open
   */
  settle: (
    number: number, transaction: ForwardedTransaction, answer: StatementAnswer
  ) => Promise<number | undefined>
  /** Rolls back a transaction, unless one of its steps is running. */
  end: (number: number, reason: string) => Promise<void>
  /** Removes a transaction whose step got no answer, and closes its connection. */
  discard: (number: number, transaction: ForwardedTransaction) => void
  /**
   * Waits until all transactions have ended, and rolls back those still open after `endMs` milliseconds. One whose step
   * is running is rolled back after that step.
   */
  drain: (endMs: number) => Promise<void>
}

/** Tracks transactions by link and calls `onLost` for each when its link closes, with one listener per link. */
function createLinkTracker (isOpen: (number: number) => boolean, onLost: (number: number) => void) {
  const byLink = new WeakMap<PeerLink, Set<number>>()
  return (link: PeerLink, number: number): void => {
    const tracked = byLink.get(link)
    if (tracked !== undefined) {
      tracked.forEach((other) => isOpen(other) || tracked.delete(other))
      tracked.add(number)
      return
    }
    const numbers = new Set([number])
    byLink.set(link, numbers)
    link.onClose(() => numbers.forEach(onLost))
  }
}

function remove (open: Map<number, ForwardedTransaction>, number: number): void {
  open.get(number)?.scope.valuesHold?.close()
  open.delete(number)
}

/**
 * Creates the registry of forwarded transactions.
 *
 * @param options - logger and maximum idle time
 * @returns the registry
 */
export function createForwardedTransactions (
  { logger, idleMs, firstNumber = randomInt(1, FIRST_NUMBER_RANGE) }: ForwardedTransactionsOptions
): ForwardedTransactions {
  const open = new Map<number, ForwardedTransaction>()
  let nextNumber = firstNumber
  let isDrained = false

  const end = async (number: number, reason: string): Promise<void> => {
    const transaction = open.get(number)
    if (transaction !== undefined && !transaction.running) {
      remove(open, number)
      clearTimeout(transaction.idleTimer)
      logger.log('info', 'home.transaction-ended', { id: transaction.scope.requestId, reason })
      await transaction.executor.rollBack()
    }
  }
  const endWithLink = createLinkTracker(
    (number) => open.has(number), (number) => { void end(number, 'the link to its host was lost') })
  const settle = async (
    number: number, transaction: ForwardedTransaction, answer: StatementAnswer
  ): Promise<number | undefined> => {
    transaction.running = false
    if (leavesTransactionOpen(answer) && isDrained) {
      open.set(number, transaction)
      await end(number, STOP_REASON)
      return undefined
    }
    if (leavesTransactionOpen(answer)) {
      open.set(number, transaction)
      clearTimeout(transaction.idleTimer)
      transaction.idleTimer = setTimeout(() => { void end(number, 'it was idle for too long') }, idleMs())
      return number
    }
    remove(open, number)
    await endTransaction(transaction.executor, answer)
    return undefined
  }
  return {
    get size () { return open.size },
    executorOf: (number) => open.get(number)?.executor,
    add: async (executor, scope, answer, link) => {
      const number = nextNumber++
      const kept = await settle(number, { executor, scope, running: true }, answer)
      if (kept !== undefined) {
        endWithLink(link, number)
      }
      return kept
    },
    claim: async (number) => {
      const transaction = open.get(number)
      if (transaction === undefined || transaction.running) {
        throw new RequestError('not-run', 'TransactionLost', { reason: 'its home has ended it' })
      }
      const { brokenBecause } = transaction.executor
      if (brokenBecause !== undefined) {
        await end(number, brokenBecause)
        throw new RequestError('not-run', 'TransactionLost', { reason: brokenBecause })
      }
      clearTimeout(transaction.idleTimer)
      transaction.running = true
      return transaction
    },
    settle,
    end,
    discard: (number, { executor }) => {
      remove(open, number)
      executor.discard()
    },
    drain: async (endMs) => {
      const until = performance.now() + endMs
      while (open.size > 0 && performance.now() < until) {
        await pause(STOP_POLL_MS)
      }
      isDrained = true
      await Promise.all([...open.keys()].map(async (number) => await end(number, STOP_REASON)))
    }
  }
}
