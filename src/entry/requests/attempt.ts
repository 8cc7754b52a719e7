/** One attempt of a single statement, and its outcome in the terms of `retry-rules.ts`. */
import { describeThrown, toRequestError, type RequestError } from '../../core/errors/index.ts'
import type { StatementAnswer } from '../ports/index.ts'
import { recordAnswer } from './record-answer.ts'
import type { RetryCause } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Outcome of an attempt: the upstream's answer, or why there is none. */
type AttemptOutcome = { answer: StatementAnswer } | { error: RequestError, reason: string }

/**
 * Runs a statement once and records what its answer shows.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param work - the statement
 * @param executor - where it runs; it is released afterwards
 * @returns the outcome; never rejects
 */
export async function attemptStatement (
  context: Pick<EntryContext, 'freshness' | 'costs'>, scope: RequestScope, work: DataWork, executor: StatementExecutor
): Promise<AttemptOutcome> {
  try {
    const timed = await executor.runSingle(scope, work, work.access === 'read')
    recordAnswer(context, scope, timed)
    return { answer: timed.answer }
  } catch (thrown) {
    return { error: toRequestError(thrown, 'may-have-run'), reason: describeThrown(thrown) }
  }
}

/**
 * Returns why an attempt failed.
 *
 * @param outcome - outcome of the attempt
 * @returns the cause; undefined when it succeeded
 */
export function failureCauseOf (outcome: AttemptOutcome): RetryCause | undefined {
  if ('error' in outcome) {
    return { type: 'error', ...outcome }
  }
  const { failure } = outcome.answer
  return failure === undefined ? undefined : { type: 'failure', kind: failure.kind }
}

/**
 * Returns the answer that the caller gets when the statement is not repeated.
 *
 * @param outcome - outcome of the last attempt
 * @returns the answer
 * @throws RequestError of an attempt that has none
 */
export function finalAnswerOf (outcome: AttemptOutcome): StatementAnswer {
  if ('error' in outcome) {
    throw outcome.error
  }
  return outcome.answer
}
