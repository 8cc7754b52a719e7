/**
 * The executor that an open transaction stays with, why the transaction has failed, and the timer that ends it when its
 * caller is idle for too long.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { StatementExecutor } from './statement-executor.ts'

/** What a transaction is pinned to. */
interface TransactionPin {
  /** Executor of the transaction; undefined before it has begun and after it has ended. */
  readonly executor: StatementExecutor | undefined
  /** Why the transaction can only be rolled back; undefined while it can go on. */
  readonly failedBecause: string | undefined
  /** Pins the transaction to the executor where it has begun. */
  pin: (executor: StatementExecutor) => void
  /** Detaches the executor, which the caller then releases, discards or rolls back. */
  detach: () => StatementExecutor | undefined
  /** Marks the transaction as failed and rolls it back; a step in progress ends first. */
  fail: (reason: string) => void
  /** Rolls back what is open; nobody waits for it. */
  rollBack: () => void
  /** Discards the executor, whose state is in doubt, and marks the transaction as failed. */
  discard: (reason: string) => void
  /** Starts the time for which the transaction may be idle. */
  startIdleTimer: () => void
  stopIdleTimer: () => void
  /**
   * Checks that the transaction can go on.
   *
   * @throws RequestError `TransactionLost`
   */
  ensureUsable: () => void
  /** Runs a step; a failure meanwhile is rolled back by whoever ran the step. */
  whileRunning: <Result>(run: () => Promise<Result>) => Promise<Result>
}

/**
 * Returns the error of a transaction that can only be rolled back.
 *
 * @param reason - why
 * @returns the error
 */
export function transactionLost (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}

/**
 * Creates the pin of a transaction that has not begun.
 *
 * @param idleMs - time for which the transaction may be idle between two steps, in milliseconds
 * @returns the pin
 */
export function createTransactionPin (idleMs: number): TransactionPin {
  let executor: StatementExecutor | undefined
  let failedBecause: string | undefined
  let running = false
  let idleTimer: NodeJS.Timeout | undefined

  const detach = (): StatementExecutor | undefined => {
    clearTimeout(idleTimer)
    const detached = executor
    executor = undefined
    return detached
  }
  const rollBack = (): void => {
    void detach()?.rollBack()
  }
  const fail = (reason: string): void => {
    failedBecause ??= reason
    // A connection takes one command at a time.
    if (!running) {
      rollBack()
    }
  }
  return {
    get executor () { return executor },
    get failedBecause () { return failedBecause },
    pin: (begunAt) => { executor = begunAt },
    detach,
    fail,
    rollBack,
    discard: (reason) => {
      detach()?.discard()
      failedBecause ??= reason
    },
    startIdleTimer: () => {
      clearTimeout(idleTimer)
      idleTimer = setTimeout(() => fail(`it rested for more than ${idleMs} ms`), idleMs)
    },
    stopIdleTimer: () => clearTimeout(idleTimer),
    ensureUsable: () => {
      if (failedBecause !== undefined) {
        throw transactionLost(failedBecause)
      }
      const brokenBecause = executor?.brokenBecause
      if (brokenBecause !== undefined) {
        fail(brokenBecause)
        throw transactionLost(brokenBecause)
      }
    },
    whileRunning: async (run) => {
      running = true
      try {
        return await run()
      } finally {
        running = false
      }
    }
  }
}
