/**
 * Transactions that are open here for other hosts.
 *
 * When does one end? When its host commits it or rolls it back, when it is idle for the time that the desired state
 * allows, when the link to its host breaks, and when this host stops.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { PeerLink } from '../../peers/types.ts'
import type { StatementAnswer } from '../ports/index.ts'
import type { StatementExecutor } from './statement-executor.ts'
import { STOP_POLL_MS } from './stop-sessions.ts'
import { endTransaction, goesOn } from './transaction-steps.ts'
import type { RequestScope } from './types.ts'

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
  /** Time for which a transaction may be idle between two steps, in milliseconds. */
  idleMs: () => number
}

/** The transactions that are open for other hosts. */
export interface ForwardedTransactions {
  readonly size: number
  /** Executor of an open transaction; undefined when it is not open. */
  executorOf: (number: number) => StatementExecutor | undefined
  /**
   * Keeps a transaction that has begun, if its first step has left it open, and ends it with the link.
   *
   * @param executor - where it runs
   * @param scope - its request
   * @param answer - answer to its first step
   * @param link - link to its host
   * @returns its number while it is open
   */
  add: (
    executor: StatementExecutor, scope: RequestScope, answer: StatementAnswer, link: PeerLink
  ) => Promise<number | undefined>
  /**
   * Claims an open transaction for a step.
   *
   * @param number - its number
   * @returns the transaction
   * @throws RequestError `TransactionLost` when it has ended, cannot go on or runs another step
   */
  claim: (number: number) => Promise<ForwardedTransaction>
  /**
   * Keeps a transaction that its step has left open, or ends it.
   *
   * @returns its number while it is open
   */
  settle: (
    number: number, transaction: ForwardedTransaction, answer: StatementAnswer
  ) => Promise<number | undefined>
  /** Rolls a transaction back, unless a step of it is running. */
  end: (number: number, reason: string) => Promise<void>
  /** Forgets a transaction whose step has no answer; its state is in doubt. */
  discard: (number: number, transaction: ForwardedTransaction) => void
  /** Waits until all have ended, and ends those that are left after a time in milliseconds. */
  drain: (endMs: number) => Promise<void>
}

/** Ends the transactions of a link when it breaks; one listener a link, since a link carries very many. */
function createLinkWatch (isOpen: (number: number) => boolean, onLost: (number: number) => void) {
  const byLink = new WeakMap<PeerLink, Set<number>>()
  return (link: PeerLink, number: number): void => {
    const known = byLink.get(link)
    if (known !== undefined) {
      known.forEach((other) => isOpen(other) || known.delete(other))
      known.add(number)
      return
    }
    const numbers = new Set([number])
    byLink.set(link, numbers)
    link.onClose(() => numbers.forEach(onLost))
  }
}

/**
 * Creates the registry of forwarded transactions.
 *
 * @param options - log and idle time
 * @returns the registry
 */
export function createForwardedTransactions (
  { logger, idleMs }: ForwardedTransactionsOptions
): ForwardedTransactions {
  const open = new Map<number, ForwardedTransaction>()
  let nextNumber = 1

  const end = async (number: number, reason: string): Promise<void> => {
    const transaction = open.get(number)
    if (transaction !== undefined && !transaction.running) {
      open.delete(number)
      clearTimeout(transaction.idleTimer)
      logger.log('info', 'home.transaction-ended', { id: transaction.scope.requestId, reason })
      await transaction.executor.rollBack()
    }
  }
  const endWithLink = createLinkWatch(
    (number) => open.has(number), (number) => { void end(number, 'the link to its host was lost') })
  const settle = async (
    number: number, transaction: ForwardedTransaction, answer: StatementAnswer
  ): Promise<number | undefined> => {
    transaction.running = false
    if (goesOn(answer)) {
      open.set(number, transaction)
      clearTimeout(transaction.idleTimer)
      transaction.idleTimer = setTimeout(() => { void end(number, 'it rested for too long') }, idleMs())
      return number
    }
    open.delete(number)
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
      open.delete(number)
      executor.discard()
    },
    drain: async (endMs) => {
      const until = performance.now() + endMs
      while (open.size > 0 && performance.now() < until) {
        await pause(STOP_POLL_MS)
      }
      await Promise.all([...open.keys()].map(async (number) => await end(number, 'this host is stopping')))
    }
  }
}
