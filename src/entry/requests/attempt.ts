/** Runs one attempt of a single statement and converts its outcome to the input of `retry-rules.ts`. */
import { describeThrown, toRequestError, type RequestError } from '../../core/errors/index.ts'
import { verdictOf, type StatementAnswer } from '../ports/index.ts'
import { recordAnswer, recordReadOutcome } from './record-answer.ts'
import type { RetryCause } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { ExecutableStatement, EntryContext, RequestScope } from './types.ts'

/** Outcome of an attempt: the upstream's answer, or the error that prevented one. */
type AttemptOutcome = { answer: StatementAnswer } | { error: RequestError, reason: string }

/**
 * Runs a statement once and records the position and the cost that its answer reports.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param statement - the statement
 * @param executor - executor to run it on; released afterwards
 * @returns the outcome; never rejects
 */
export async function attemptStatement (
  context: Pick<EntryContext, 'freshness' | 'costs'>, scope: RequestScope, statement: ExecutableStatement,
  executor: StatementExecutor
): Promise<AttemptOutcome> {
  try {
    const timed = await executor.runSingle(scope, statement, statement.access === 'read')
    recordAnswer(context, scope, timed)
    statement.access === 'read' && recordReadOutcome(executor, scope, timed)
    const { failure } = timed.answer
    scope.sent = failure === undefined || verdictOf(failure.kind) !== 'not-run'
    return { answer: timed.answer }
  } catch (thrown) {
    const error = toRequestError(thrown, 'may-have-run')
    scope.sent = error.verdict !== 'not-run'
    return { error, reason: describeThrown(thrown) }
  }
}

/**
 * Returns why an attempt failed.
 *
 * @param outcome - outcome of the attempt
 * @returns the cause; undefined if the attempt succeeded
 */
export function failureCauseOf (outcome: AttemptOutcome): RetryCause | undefined {
  if ('error' in outcome) {
    return { type: 'error', ...outcome }
  }
  const { failure } = outcome.answer
  return failure === undefined ? undefined : { type: 'failure', kind: failure.kind }
}

/**
 * Returns the caller's answer to a statement that is not retried.
 *
 * @param outcome - outcome of the last attempt
 * @returns the answer
 * @throws RequestError if the attempt got no answer
 */
export function finalAnswerOf (outcome: AttemptOutcome): StatementAnswer {
  if ('error' in outcome) {
    throw outcome.error
  }
  return outcome.answer
}
