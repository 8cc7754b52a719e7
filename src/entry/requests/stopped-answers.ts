/** Answers to requests that this host can't serve or answer to the end because it is stopping. */
import { RequestError } from '../../core/errors/index.ts'
import type { CallerAnswer, FailureKind, StatementAnswer } from '../ports/index.ts'
import { failureAnswer, failureOf } from './answers.ts'
import type { SessionTransaction } from './session-transaction.ts'
import type { RequestScope } from './types.ts'

const STOP_REASON = 'this host is stopping'
const UNREAD_REASON = `${STOP_REASON}, and its rows could not be read in time`

type AbortableTransaction = Pick<SessionTransaction, 'isOpen' | 'abort' | 'failureReported'>

function answerAborted (transaction: AbortableTransaction, reason: string): StatementAnswer {
  transaction.abort(reason)
  return failureAnswer('aborted', `the transaction was rolled back: ${reason}`, 'failed')
}

/**
 * Creates the answer to a request that this host stops serving, and aborts the transaction it belongs to.
 *
 * @param host - name of this host
 * @param transaction - the transaction of the session
 * @param scope - scope of the request; undefined if nothing was done for it
 * @returns the answer
 */
export function answerStopped (
  host: string, transaction: AbortableTransaction, scope?: RequestScope
): StatementAnswer {
  if (transaction.isOpen) {
    return answerAborted(transaction, STOP_REASON)
  }
  const error = new RequestError(scope?.sent === true ? 'may-have-run' : 'not-run', 'Stopping', { host })
  return { rows: [], failure: failureOf(error, scope?.hasLastingEffect !== true), state: 'idle' }
}

/**
 * Adds to an answer what takes its place if its rows can't all be written. The statement has run then, so the verdict
 * depends on what it leaves behind; in a transaction it is rolled back.
 *
 * @param answer - the answer
 * @param transaction - the transaction of the session
 * @param scope - scope of the request; undefined if no upstream was asked
 * @param onEndedEarly - called with the failure that takes the place of the rows
 * @returns the answer to the caller
 */
export function toCallerAnswer (
  answer: StatementAnswer, transaction: AbortableTransaction, scope: RequestScope | undefined,
  onEndedEarly: (outcome: FailureKind) => void
): CallerAnswer {
  const { failure, state, position } = answer
  const endTransaction = (reason: string): StatementAnswer => {
    transaction.failureReported()
    return answerAborted(transaction, reason)
  }
  const endStatement = (reason: string): StatementAnswer => {
    const kind = scope?.hasLastingEffect === true ? 'in-doubt' : 'aborted'
    return { rows: [], failure: failure ?? { kind, message: reason }, state, position }
  }
  const withoutRows = (reason = UNREAD_REASON): StatementAnswer => {
    const ended = state === 'open' && failure === undefined ? endTransaction(reason) : endStatement(reason)
    onEndedEarly(ended.failure!.kind)
    return ended
  }
  return { ...answer, withoutRows }
}
