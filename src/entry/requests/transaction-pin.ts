/**
 * Pins an open transaction to one executor. Tracks whether the transaction has failed, and rolls it back if its caller
 * is idle for too long.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { StatementExecutor } from './statement-executor.ts'

/** Binding of a transaction to its executor. */
interface TransactionPin {
  /** Executor of the transaction; undefined before its begin and after its end. */
  readonly executor: StatementExecutor | undefined
  /** Reason why the transaction has failed; undefined while it can continue. */
  readonly failedBecause: string | undefined
  /** Pins the transaction to the executor on which it has begun. */
  pin: (executor: StatementExecutor) => void
  /** Detaches the executor; the caller must release, discard or roll it back. */
  detach: () => StatementExecutor | undefined
  /** Marks the transaction as failed. Rolls it back unless a step is running. */
  fail: (reason: string) => void
  /** Detaches the executor and rolls it back, without waiting for the result. */
  rollBack: () => void
  /** Discards the executor, whose transaction state is unknown, and marks the transaction as failed. */
  discard: (reason: string) => void
  /** Starts the idle timer; on timeout the transaction fails. */
  startIdleTimer: () => void
  stopIdleTimer: () => void
  /**
   * Checks that the transaction can continue.
   *
   * @throws RequestError `TransactionLost` if it has failed or its executor is broken
   */
  ensureUsable: () => void
  /** Runs a step. If the transaction fails meanwhile, the caller rolls it back after the step. */
  whileRunning: <Result>(run: () => Promise<Result>) => Promise<Result>
}

/**
 * Returns the error for a statement in a failed transaction.
 *
 * @param reason - why the transaction has failed
 * @returns the error
 */
export function transactionLost (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}

/**
 * Creates the pin of a transaction that has not begun.
 *
 * @param idleMs - maximum idle time between two steps, in milliseconds
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
    // A connection runs one command at a time, so a rollback must wait for the step.
    if (!running) {
      rollBack()
    }
  }
  return {
    get executor () { return executor },
    get failedBecause () { return failedBecause },
    pin: (begunExecutor) => { executor = begunExecutor },
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
