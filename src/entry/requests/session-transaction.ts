/**
 * The transaction of a caller's session, from begin to commit or rollback. A statement or commit is refused if the
 * caller's key no longer belongs to the organisation for which the transaction began. The first statement after a
 * failure reports the reason; later ones are refused until the caller rolls back.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { StatementAnswer, TransactionState } from '../ports/index.ts'
import { doneAnswer, failureAnswer, failureOf } from './answers.ts'
import { findCallerRoute, mayContinue } from './caller-route.ts'
import { resolveReadConstraint } from './reads.ts'
import { limitRequestOf, raiseFloor, startRequestScope, type SessionState } from './session-state.ts'
import { createTransaction, type CallerTransaction } from './transaction.ts'
import type { ExecutableStatement } from './types.ts'

/** The transaction of a session, if one is open. */
export interface SessionTransaction {
  readonly state: TransactionState
  readonly isOpen: boolean
  /** Whether it is open, and the caller has not been told that it failed. */
  readonly canContinue: boolean
  /** Begins a transaction without sending anything yet. Throws RequestError if the caller may not begin one. */
  begin: (readOnly: boolean) => Promise<StatementAnswer>
  /** Runs a statement in the open transaction. */
  execute: (statement: ExecutableStatement) => Promise<StatementAnswer>
  commit: (requestId: string, text: string) => Promise<StatementAnswer>
  rollBack: () => StatementAnswer
  /** Returns the refusal of a statement if the transaction has failed; otherwise undefined. */
  refuseIfFailed: () => StatementAnswer | undefined
  /** Records that an answer has told the caller that the transaction has failed. */
  failureReported: () => void
  /** Marks the open transaction as failed and rolls it back; the next statement fails with the reason. */
  abort: (reason: string) => void
  /** Rolls back the open transaction, if any, without waiting for it. */
  abandon: () => void
  /** Drops the open transaction after the caller's connection has closed. */
  clear: () => void
}

/** Aborts the transaction if the caller's key no longer belongs to its organisation. */
function ensureKeyHeld ({ desiredState, link }: SessionState, open: CallerTransaction): void {
  if (!mayContinue(desiredState(), open, link.keyDigest)) {
    const reason = 'its organisation does not hold its key any more'
    open.abort(reason)
    throw new RequestError('not-run', 'TransactionLost', { reason })
  }
}

async function openTransaction (session: SessionState, readOnly: boolean): Promise<CallerTransaction> {
  const { context, desiredState, floor } = session
  const { route, organisation } = findCallerRoute(desiredState(), session.link)
  const takenAt = await context.limits.take(organisation, limitRequestOf(session, route))
  return createTransaction({
    context,
    route,
    organisation,
    takenAt,
    readOnly,
    constraint: readOnly
      ? await resolveReadConstraint(context, route.group, route.freshness, performance.now(), floor)
      : { type: 'primary' },
    idleMs: desiredState()?.transactionIdleMs ?? route.timeoutMs
  })
}

async function executeInTransaction (
  session: SessionState, open: CallerTransaction, statement: ExecutableStatement
): Promise<StatementAnswer> {
  const scope = startRequestScope(session, statement.requestId, open)
  try {
    ensureKeyHeld(session, open)
    return await open.execute(scope, statement)
  } catch (thrown) {
    if (!open.begun && scope.sent !== true) {
      session.context.limits.refund(open.organisation, open.takenAt)
    }
    return { ...failureAnswer('aborted', '', 'failed'), failure: failureOf(thrown, true) }
  } finally {
    session.trace.upstream = open.upstream
  }
}

async function commitTransaction (
  session: SessionState, ending: CallerTransaction, requestId: string, text: string
): Promise<StatementAnswer> {
  const scope = startRequestScope(session, requestId, ending)
  scope.hasLastingEffect = ending.wrote
  session.trace.upstream = ending.upstream
  try {
    ensureKeyHeld(session, ending)
    const answer = await ending.commit(scope, text)
    if (answer.failure === undefined && ending.wrote) {
      raiseFloor(session, answer)
    }
    return { ...answer, state: 'idle' }
  } catch (thrown) {
    return { ...failureAnswer('aborted', '', 'idle'), failure: failureOf(thrown, !ending.wrote) }
  }
}

/**
 * Creates the transaction of a session; initially none is open.
 *
 * @param session - the session
 * @returns the transaction
 */
export function createSessionTransaction (session: SessionState): SessionTransaction {
  let open: CallerTransaction | undefined
  let failureReported = false

  const stateNow = (): TransactionState => open === undefined ? 'idle' : open.failed ? 'failed' : 'open'
  const refuseIfFailed = (): StatementAnswer | undefined => {
    if (open?.failed !== true) {
      return undefined
    }
    return failureReported
      ? failureAnswer('malformed', 'the transaction has failed; roll it back', 'failed')
      : failureAnswer('aborted', `the transaction was rolled back: ${open.failedBecause ?? ''}`, 'failed')
  }
  return {
    get state () { return stateNow() },
    get isOpen () { return open !== undefined },
    get canContinue () { return open !== undefined && !(open.failed && failureReported) },
    begin: async (readOnly) => {
      if (open !== undefined) {
        return failureAnswer('malformed', 'a transaction is open', stateNow())
      }
      open = await openTransaction(session, readOnly)
      failureReported = false
      return doneAnswer('open')
    },
    execute: async (statement) => await executeInTransaction(session, open!, statement),
    commit: async (requestId, text) => {
      const ending = open
      open = undefined
      if (ending === undefined) {
        return failureAnswer('malformed', 'no transaction is open', 'idle')
      }
      return ending.failed
        ? failureAnswer('aborted', 'the transaction had failed; it was rolled back', 'idle')
        : await commitTransaction(session, ending, requestId, text)
    },
    rollBack: () => {
      if (open === undefined) {
        return failureAnswer('malformed', 'no transaction is open', 'idle')
      }
      if (!open.begun && !open.failed) {
        session.context.limits.refund(open.organisation, open.takenAt)
      }
      open.rollBack()
      open = undefined
      return doneAnswer('idle')
    },
    refuseIfFailed,
    failureReported: () => { failureReported = true },
    abort: (reason) => open?.abort(reason),
    abandon: () => open?.rollBack(),
    clear: () => { open = undefined }
  }
}
