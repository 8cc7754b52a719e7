/** One transaction of a caller. It begins at an upstream with its first statement and stays on that connection. */
import { describeThrown, toRequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Organisation, Route, StatementAnswer } from '../ports/index.ts'
import { beginTransaction, type BeginContext } from './begin-transaction.ts'
import type { ReadPlace } from './reads.ts'
import { recordAnswer } from './record-answer.ts'
import { mayRepeatStep, NOT_RUN_PAUSE_MS } from './retry-rules.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { TransactionStep } from './statement-executor.ts'
import { createTransactionPin, transactionLost } from './transaction-pin.ts'
import { endTransaction, goesOn, runNextStep } from './transaction-steps.ts'
import type { DataWork, RequestScope } from './types.ts'

/** Options of {@link createTransaction}. */
interface TransactionOptions {
  context: BeginContext
  route: Route
  /** On whose behalf it runs. */
  organisation: Organisation
  readOnly: boolean
  /** Where a transaction that only reads may run. */
  place: ReadPlace
  /** Time for which it may be idle between two steps, in milliseconds. */
  idleMs: number
}

/** A transaction of a caller. */
export interface CallerTransaction {
  readonly route: Route
  readonly organisation: Organisation
  /** Whether it has begun at an upstream. */
  readonly begun: boolean
  /** Whether it can only be rolled back. */
  readonly failed: boolean
  readonly failedBecause: string | undefined
  /** Whether it has written anything that a commit would keep. */
  readonly wrote: boolean
  readonly upstream: string | undefined
  /**
   * Runs a statement in it.
   *
   * @returns the upstream's answer
   * @throws RequestError; the transaction has failed
   */
  execute: (scope: RequestScope, work: DataWork) => Promise<StatementAnswer>
  /**
   * Commits it. Sent once.
   *
   * @returns the upstream's answer
   * @throws RequestError with the verdict on whether it was committed
   */
  commit: (scope: RequestScope, text: string) => Promise<StatementAnswer>
  /** Rolls it back; the caller need not wait. */
  rollBack: () => void
  /** Ends it from this side: the next statement is refused. */
  abort: (reason: string) => void
}

/**
 * Creates a transaction; nothing is sent before its first statement.
 *
 * @param options - route and limits
 * @returns the transaction
 */
export function createTransaction (options: TransactionOptions): CallerTransaction {
  const { context, readOnly, place } = options
  const pin = createTransactionPin(options.idleMs)
  let wrote = false
  let begun = false

  const runFirst = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const { executor, begun: { first, lost } } = await beginTransaction(context, scope, { readOnly, place, step })
    pin.pin(executor)
    begun = true
    if (first === undefined) {
      throw toRequestError(lost, 'may-have-run')
    }
    recordAnswer(context, scope, first)
    return first
  }
  const runStep = async (scope: RequestScope, step: TransactionStep): Promise<StatementAnswer> => {
    pin.ensureUsable()
    pin.stopIdleTimer()
    for (let attempts = 1; ; attempts++) {
      const { executor } = pin
      const { answer } = await pin.whileRunning(async () => executor === undefined
        ? await runFirst(scope, step)
        : await runNextStep(context, scope, executor, step))
      if (!mayRepeatStep(answer, attempts, scope.deadline.passed)) {
        return answer
      }
      await pause(NOT_RUN_PAUSE_MS)
      pin.ensureUsable()
    }
  }
  const execute = async (scope: RequestScope, work: DataWork): Promise<StatementAnswer> => {
    try {
      wrote ||= work.access === 'write'
      const answer = await runStep(scope, { type: 'work', work })
      if (pin.failedBecause !== undefined) {
        pin.rollBack()
      } else if (goesOn(answer)) {
        pin.startIdleTimer()
      } else {
        pin.fail(`the upstream ended it: ${answer.failure?.kind ?? 'unknown'}`)
      }
      return answer
    } catch (thrown) {
      // Without its commit nothing of a transaction is kept, whatever became of the statement.
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
    get begun () { return begun },
    get failed () { return pin.failedBecause !== undefined },
    get failedBecause () { return pin.failedBecause },
    get wrote () { return wrote },
    get upstream () { return pin.executor?.known.upstream },
    execute,
    commit,
    rollBack: () => pin.fail('it was rolled back'),
    abort: pin.fail
  }
}
