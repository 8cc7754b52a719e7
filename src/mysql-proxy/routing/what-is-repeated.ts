/**
 * Decides which failed requests are retried, and whether at the same home or at another one. Depends on the verdict
 * (`not-run`: the request had no effect and never will; `may-have-run`: unknown), the request type and whether its kind
 * is repeatable. Callers also check the deadline and the group's retry budget.
 */
import { RequestError, toRequestError, type Verdict } from '../../core/errors/index.ts'
import { isTooManyConnections } from '../../mysql/connection-lost.ts'
import { MYSQL_ERROR } from '../../mysql/consts.ts'
import type { HomeRequest } from './types.ts'

/** Whether a request may be resent after its link to a home broke: reads, begins and writes protected by a key. */
const SAFE_TO_RESEND: Record<HomeRequest['type'], boolean> = {
  execute: true,
  begin: true,
  'transaction-execute': false,
  commit: false,
  rollback: false,
  settle: true,
  explain: true
}

/** Errors after which a retried write may succeed. */
const TRANSIENT_WRITE_ERRORS: readonly string[] = ['ConnectionLost', 'TransactionLost', 'NotAcknowledged']

/**
 * Errors that follow from the record of a request key, so that every home would return them, by request type. The
 * tombstone of a statement is not final: an earlier home may still take the key over with a later attempt. That of a
 * commit is, because a commit has only one attempt.
 */
const FINAL_ERRORS: Partial<Record<HomeRequest['type'], readonly string[]>> = {
  execute: ['KeyReused'],
  settle: ['TransactionLost', 'KeyReused']
}

/**
 * Returns whether an upstream refused a statement because it is read-only, as a fenced primary is.
 *
 * @param error - the error
 * @returns whether it did
 */
export function isReadOnlyRefusal (error: unknown): error is RequestError {
  return error instanceof RequestError && error.entry === 'StatementFailed' && error.mysqlCode === MYSQL_ERROR.readOnly
}

/**
 * Returns whether an error is the loss of a connection to an upstream.
 *
 * @param error - the error
 * @returns whether it is
 */
export function isConnectionLost (error: unknown): error is RequestError {
  return error instanceof RequestError && error.entry === 'ConnectionLost'
}

/**
 * Returns whether an error leaves open whether the request ran.
 *
 * @param error - the error
 * @returns whether it does
 */
export function hasUnknownOutcome (error: unknown): boolean {
  return error instanceof RequestError && error.verdict === 'may-have-run'
}

/**
 * Decides whether a failed write may be retried: after a transient failure, if it did not run or is repeatable.
 *
 * @param error - the failure
 * @param repeatable - whether the kind of the write is declared repeatable
 * @returns whether it may, within deadline and retry budget
 */
export function mayRetryWrite (error: unknown, repeatable: boolean): boolean {
  if (!(error instanceof RequestError)) {
    return false
  }
  const safe: Verdict[] = repeatable ? ['not-run', 'may-have-run'] : ['not-run']
  const isTransient = TRANSIENT_WRITE_ERRORS.includes(error.entry) || isReadOnlyRefusal(error)
  return isTransient && safe.includes(error.verdict)
}

/**
 * Decides whether the begin of a transaction may be retried: when its connection was lost before anything ran.
 *
 * @param error - the failure
 * @returns whether it may, within the deadline
 */
export function mayRetryBegin (error: unknown): boolean {
  return isConnectionLost(error) && error.verdict === 'not-run'
}

/**
 * Returns whether a transaction failed because its primary was superseded or its connection was lost.
 *
 * @param error - failure of a statement in the transaction
 * @returns whether it did
 */
export function isTransactionSuperseded (error: unknown): boolean {
  return error instanceof RequestError && (isReadOnlyRefusal(error) || error.entry === 'TransactionLost')
}

/**
 * Decides whether a request may be sent to another home: when the first one is stopping or was refused a connection by
 * the upstream, or when the link to it broke and the request did not run or is safe to resend.
 *
 * @param error - failure at the first home
 * @param request - the request
 * @returns whether it may
 */
export function mayTryAnotherHome (error: unknown, request: HomeRequest): boolean {
  if (!(error instanceof RequestError)) {
    return false
  }
  if (error.entry === 'PeerUnavailable') {
    return error.verdict === 'not-run' || SAFE_TO_RESEND[request.type]
  }
  return error.verdict === 'not-run' && (error.entry === 'Stopping' || isTooManyConnections(error))
}

/**
 * Changes the verdict of a later home's failure to `may-have-run`, because an earlier home may have run the request.
 * Errors that follow from the record of the request key keep their verdict.
 *
 * @param error - failure at the later home
 * @param type - type of the request
 * @returns the failure to report
 */
export function withUnknownOutcome (error: unknown, type: HomeRequest['type']): unknown {
  const isFinal = error instanceof RequestError && FINAL_ERRORS[type]?.includes(error.entry) === true
  return isFinal ? error : toRequestError(error, 'may-have-run', true)
}
