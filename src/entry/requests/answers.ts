/** Answers that worksward creates itself, and the failures that errors map to. */
import { RequestError, toRequestError, type ErrorName } from '../../core/errors/index.ts'
import type { FailureKind, StatementAnswer, TransactionState } from '../ports/index.ts'

/** Creates the answer to a statement that succeeded without an upstream. */
export function doneAnswer (state: TransactionState): StatementAnswer {
  return { rows: [], state }
}

/**
 * Creates an answer that reports a failure.
 *
 * @param kind - kind of the failure
 * @param message - explanation for the caller
 * @param state - transaction state of the session after the statement
 * @returns the answer
 */
export function failureAnswer (kind: FailureKind, message: string, state: TransactionState): StatementAnswer {
  return { rows: [], failure: { kind, message }, state }
}

/** Failure kinds of errors with verdict `not-run`; all other errors map to `busy`. */
const NOT_RUN_KINDS: Partial<Record<ErrorName, FailureKind>> = {
  UnknownGroup: 'unknown-database',
  UnknownKey: 'unknown-key',
  TransactionLost: 'aborted'
}

/**
 * Maps an error to the failure that the caller receives.
 *
 * @param thrown - the error
 * @param hasNoEffect - whether the request leaves no lasting effect even if it has run, so that it is never in doubt
 * @returns kind and message of the failure
 */
export function failureOf (thrown: unknown, hasNoEffect: boolean): NonNullable<StatementAnswer['failure']> {
  const error: RequestError = toRequestError(thrown, 'may-have-run')
  const message = error.message.replace(/[\r\n]+/g, ' ')
  if (error.verdict === 'not-run') {
    return { kind: NOT_RUN_KINDS[error.entry] ?? 'busy', message }
  }
  if (!hasNoEffect) {
    return { kind: 'in-doubt', message }
  }
  return { kind: error.entry === 'DeadlineExceeded' ? 'timeout' : 'aborted', message }
}
