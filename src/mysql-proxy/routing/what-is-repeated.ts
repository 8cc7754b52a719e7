/**
 * Rule: which failed requests are sent again, and where?
 *
 * Inputs: the failure with its verdict (`not-run`: it had no effect and never will; `may-have-run`: unknown), the type
 * of the request, whether its kind is declared repeatable, and the time left (ms). The caller of a rule also takes a
 * retry from the budget of the group (`retries/`), which bounds retries to a part of the requests.
 *
 * - A read changes nothing: it is repeated after a lost connection.
 * - A write is repeated after a transient failure that leaves it `not-run`; one declared repeatable also after
 *   `may-have-run`. A write under a key that may have run is settled instead (`settle.ts`).
 * - The begin of a transaction is repeated while nothing has run in it.
 * - Another home is tried when this one stops or was refused a connection, and after a broken link when the request is
 *   safe to send twice: reads, and what a request key protects. What a home decided stands.
 */
import { RequestError, toRequestError, type Verdict } from '../../core/errors/index.ts'
import { isTooManyConnections } from '../../mysql/connection-lost.ts'
import { MYSQL_ERROR } from '../../mysql/consts.ts'
import type { HomeRequest } from './types.ts'

/** Requests that may be sent again when the link to their home broke: reads, and writes under a key. */
const SAFE_TO_RESEND: Record<HomeRequest['type'], boolean> = {
  execute: true,
  begin: true,
  'transaction-execute': false,
  commit: false,
  rollback: false,
  settle: true,
  explain: true
}

/** Errors of a write that another try can succeed after. */
const TRANSIENT_WRITE_ERRORS: readonly string[] = ['ConnectionLost', 'TransactionLost', 'NotAcknowledged']

/** Errors that the record of a request's key decided; no other home can say otherwise. */
const FINAL_ERRORS: readonly string[] = ['TransactionLost', 'KeyReused']

/**
 * Decides whether an error is the refusal of a fenced primary; the view has yet to learn of its successor.
 *
 * @param error - the error
 * @returns whether it is
 */
export function isReadOnlyRefusal (error: unknown): error is RequestError {
  return error instanceof RequestError && error.entry === 'StatementFailed' && error.mysqlCode === MYSQL_ERROR.readOnly
}

/**
 * Decides whether an error is a connection to an upstream that was lost; a read is repeated after it.
 *
 * @param error - the error
 * @returns whether it is
 */
export function isConnectionLost (error: unknown): error is RequestError {
  return error instanceof RequestError && error.entry === 'ConnectionLost'
}

/**
 * Decides whether an error leaves open whether the request ran.
 *
 * @param error - the error
 * @returns whether it does
 */
export function isDoubtful (error: unknown): boolean {
  return error instanceof RequestError && error.verdict === 'may-have-run'
}

/**
 * Decides whether a failed write may run again.
 *
 * @param error - the failure
 * @param repeatable - whether its kind is declared repeatable
 * @returns whether it may, within deadline and budget
 */
export function mayRepeatWrite (error: unknown, repeatable: boolean): boolean {
  if (!(error instanceof RequestError)) {
    return false
  }
  const safe: Verdict[] = repeatable ? ['not-run', 'may-have-run'] : ['not-run']
  const isTransient = TRANSIENT_WRITE_ERRORS.includes(error.entry) || isReadOnlyRefusal(error)
  return isTransient && safe.includes(error.verdict)
}

/**
 * Decides whether the begin of a transaction may be repeated: its connection broke, as when the primary changes.
 *
 * @param error - the failure
 * @returns whether it may, within the deadline
 */
export function mayRepeatBegin (error: unknown): boolean {
  return isConnectionLost(error) && error.verdict === 'not-run'
}

/**
 * Decides whether the primary of a transaction is gone; a transaction in which nothing has run can begin elsewhere.
 *
 * @param error - the failure of a statement in it
 * @returns whether it is
 */
export function isTransactionSuperseded (error: unknown): boolean {
  return error instanceof RequestError && (isReadOnlyRefusal(error) || error.entry === 'TransactionLost')
}

/**
 * Decides whether another home may be asked.
 *
 * @param error - the failure at one home
 * @param request - the request
 * @returns whether it may
 */
export function mayTryElsewhere (error: unknown, request: HomeRequest): boolean {
  if (!(error instanceof RequestError)) {
    return false
  }
  if (error.entry === 'PeerUnavailable') {
    return error.verdict === 'not-run' || SAFE_TO_RESEND[request.type]
  }
  return error.verdict === 'not-run' && (error.entry === 'Stopping' || isTooManyConnections(error))
}

/**
 * Gives the failure of a later home the verdict of the whole request, after the answer of an earlier home was lost:
 * that the last home did not run it says nothing of the earlier one. Only the record of the key does.
 *
 * @param error - the failure of the later home
 * @returns the failure to report
 */
export function asDoubtful (error: unknown): unknown {
  const isFinal = error instanceof RequestError && FINAL_ERRORS.includes(error.entry)
  return isFinal ? error : toRequestError(error, 'may-have-run', true)
}
