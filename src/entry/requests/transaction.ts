/** A caller's transaction. It begins at an upstream with its first statement and stays on that connection. */
import { describeThrown, toRequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Organisation, Route, StatementAnswer } from '../ports/index.ts'
import { beginTransaction, type BeginContext } from './begin-transaction.ts'
import type { ReadConstraint } from './reads.ts'
import { recordAnswer } from './record-answer.ts'
import { mayRetryStep, RETRY_PAUSE_MS } from './retry-rules.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { TransactionStep } from './statement-executor.ts'
import { createTransactionPin, transactionLost } from './transaction-pin.ts'
import { endTransaction, leavesTransactionOpen, runNextStep } from './transaction-steps.ts'
import type { ExecutableStatement, RequestScope } from './types.ts'

/** Options of {@link createTransaction}. */
interface TransactionOptions {
  context: BeginContext
  route: Route
  /** Organisation on whose behalf it runs. */
  organisation: Organisation
  /** Time from which the age of its operation of the limit counts, on the monotonic clock, in milliseconds. */
  takenAt: number
  readOnly: boolean
  /** Which upstreams may run a read-only transaction. */
  constraint: ReadConstraint
  /** Maximum idle time between two steps, in milliseconds. */
  idleMs: number
}

/** A transaction of a caller, from its first statement to its commit or rollback. */
export interface CallerTransaction {
  readonly route: Route
  readonly organisation: Organisation
  /** Time from which the age of its operation of the limit counts, on the monotonic clock, in milliseconds. */
  readonly takenAt: number
  /** Whether it has begun at an upstream. */
  readonly begun: boolean
  /** Whether it can only be rolled back. */
  readonly failed: boolean
  readonly failedBecause: string | undefined
  /** Whether a write was attempted in it, so that a commit without an answer is in doubt. */
  readonly wrote: boolean
  readonly upstream: string | undefined
  /**
   * Runs a statement in the transaction.
   *
   * @returns the upstream's answer
   * @throws RequestError `TransactionLost` if the transaction has failed
   */
  execute: (scope: RequestScope, statement: ExecutableStatement) => Promise<StatementAnswer>
  /**
   * Commits the transaction. A commit that may have run is never sent again.
   *
   * @returns the upstream's answer
   * @throws RequestError with the verdict on whether it was committed
   */
  commit: (scope: RequestScope, text: string) => Promise<StatementAnswer>
  /** Rolls it back in the background. */
  rollBack: () => void
  /** Marks it as failed and rolls it back; the next statement fails with the reason. */
  abort: (reason: string) => void
}

/**
 * Creates a transaction. Nothing is sent to an upstream before its first statement.
 *
 * @param options - route, organisation and limits
 * @returns the transaction
 */
export function createTransaction (options: TransactionOptions): CallerTransaction {
  const { context, readOnly, constraint } = options
  const pin = createTransactionPin(options.idleMs)
  let wrote = false
  let begun = false

  const runFirst = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const { executor, begun: { firstAnswer, firstError } } =
      await beginTransaction(context, scope, { readOnly, constraint, step })
    pin.pin(executor)
    begun = true
    if (firstAnswer === undefined) {
      throw toRequestError(firstError, 'may-have-run')
    }
    recordAnswer(context, scope, firstAnswer)
    return firstAnswer
  }
  const runStep = async (scope: RequestScope, step: TransactionStep): Promise<StatementAnswer> => {
    pin.ensureUsable()
    pin.stopIdleTimer()
    for (let attempts = 1; ; attempts++) {
      const { executor } = pin
      const { answer } = await pin.whileRunning(async () => executor === undefined
        ? await runFirst(scope, step)
        : await runNextStep(context, scope, executor, step))
      if (!mayRetryStep(answer, attempts, scope.deadline.passed)) {
        return answer
      }
      await pause(RETRY_PAUSE_MS)
      pin.ensureUsable()
    }
  }
  const execute = async (scope: RequestScope, statement: ExecutableStatement): Promise<StatementAnswer> => {
    try {
      wrote ||= statement.access === 'write'
      const answer = await runStep(scope, { type: 'statement', statement })
      if (pin.failedBecause !== undefined) {
        pin.rollBack()
      } else if (leavesTransactionOpen(answer)) {
        pin.startIdleTimer()
      } else {
        pin.fail(`the upstream ended it: ${answer.failure?.kind ?? 'unknown'}`)
      }
      return answer
    } catch (thrown) {
      // Whether the statement ran does not matter: without a commit the upstream discards the transaction.
      pin.discard(describeThrown(thrown))
      throw transactionLost(pin.failedBecause!)
    }
  }
  const commit = async (scope: RequestScope, text: string): Promise<StatementAnswer> => {
    const wasOpen = pin.executor !== undefined
    try {
      const answer = await runStep(scope, { type: 'commit', requestId: scope.requestId, text })
      await endTransaction(pin.detach(), answer)
      return answer
    } catch (thrown) {
      pin.detach()?.discard()
      const mayBeKept = wasOpen && wrote
      throw toRequestError(thrown, mayBeKept ? 'may-have-run' : 'not-run', !mayBeKept)
    }
  }
  return {
    route: options.route,
    organisation: options.organisation,
    takenAt: options.takenAt,
    get begun () { return begun },
    get failed () { return pin.failedBecause !== undefined },
    get failedBecause () { return pin.failedBecause },
    get wrote () { return wrote },
    get upstream () { return pin.executor?.target.upstream },
    execute,
    commit,
    rollBack: () => pin.fail('it was rolled back'),
    abort: pin.fail
  }
}
