/** Answers that worksward gives by itself, and the translation of errors to answers. */
import { RequestError, toRequestError, type ErrorName } from '../../core/errors/index.ts'
import type { FailureKind, StatementAnswer, TransactionState } from '../ports/index.ts'

/** Answers a statement that succeeded without an upstream. */
export function doneAnswer (state: TransactionState): StatementAnswer {
  return { rows: [], state }
}

/**
 * Answers with a failure.
 *
 * @param kind - the failure
 * @param message - what happened, and when to come back
 * @param state - where the session stands afterwards
 * @returns the answer
 */
export function failureAnswer (kind: FailureKind, message: string, state: TransactionState): StatementAnswer {
  return { rows: [], failure: { kind, message }, state }
}

/** Failures of statements that were certainly not run, by the error that says so. */
const NOT_RUN_KINDS: Partial<Record<ErrorName, FailureKind>> = {
  UnknownGroup: 'unknown-database',
  UnknownKey: 'unknown-key',
  TransactionLost: 'aborted'
}

/**
 * Returns the failure that an error means for a caller.
 *
 * @param thrown - the error
 * @param keepsNothing - whether nothing of the attempt can be kept, whatever has run: it has only read so far
 * @returns kind and message
 */
export function failureOf (thrown: unknown, keepsNothing: boolean): NonNullable<StatementAnswer['failure']> {
  const error: RequestError = toRequestError(thrown, 'may-have-run')
  const message = error.message.replace(/[\r\n]+/g, ' ')
  if (error.verdict === 'not-run') {
    return { kind: NOT_RUN_KINDS[error.entry] ?? 'busy', message }
  }
  if (!keepsNothing) {
    return { kind: 'in-doubt', message }
  }
  return { kind: error.entry === 'DeadlineExceeded' ? 'timeout' : 'aborted', message }
}
