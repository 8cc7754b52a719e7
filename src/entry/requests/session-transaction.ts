/**
 * The transaction of a caller's session, from its begin to its end.
 *
 * Who may go on with it? The caller whose key its organisation still holds; otherwise it is rolled back. What is
 * answered in one that has failed? The reason, unless an earlier answer has shown the failure; after that only a
 * rollback is taken.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { StatementAnswer, TransactionState } from '../ports/index.ts'
import { doneAnswer, failureAnswer, failureOf } from './answers.ts'
import { findCallerRoute, mayGoOn } from './caller-route.ts'
import { placeRead } from './reads.ts'
import { raiseFloor, startScope, type SessionState } from './session-state.ts'
import { createTransaction, type CallerTransaction } from './transaction.ts'
import type { DataWork } from './types.ts'

/** The transaction of a session, if one is open. */
export interface SessionTransaction {
  readonly state: TransactionState
  readonly isOpen: boolean
  /** Begins one; nothing is sent before its first statement. Throws RequestError when the caller is not served. */
  begin: (readOnly: boolean) => Promise<StatementAnswer>
  /** Runs a statement in the one that is open. */
  execute: (work: DataWork) => Promise<StatementAnswer>
  commit: (requestId: string, text: string) => Promise<StatementAnswer>
  rollBack: () => StatementAnswer
  /** The answer to a statement in one that has failed; undefined when it has not. */
  refuseIfFailed: () => StatementAnswer | undefined
  /** Records that the caller has had an answer which shows that the transaction has failed. */
  failureReported: () => void
  /** Ends the open one from this side; the next statement is refused. */
  abort: (reason: string) => void
  /** Rolls back the open one, if any; nobody waits for an answer. */
  abandon: () => void
  /** Forgets the open one after its rollback: the caller's connection is gone. */
  forget: () => void
}

/** A transaction goes on by the route with which it began, but not for a caller whose key has changed hands. */
function ensureKeyHeld ({ desiredState, link }: SessionState, open: CallerTransaction): void {
  if (!mayGoOn(desiredState(), open, link.keyDigest)) {
    const reason = 'its organisation does not hold its key any more'
    open.abort(reason)
    throw new RequestError('not-run', 'TransactionLost', { reason })
  }
}

async function openTransaction (session: SessionState, readOnly: boolean): Promise<CallerTransaction> {
  const { context, desiredState, floor } = session
  const { route, organisation } = findCallerRoute(desiredState(), session.link)
  await context.limits.take(organisation)
  return createTransaction({
    context,
    route,
    organisation,
    readOnly,
    place: readOnly
      ? await placeRead(context, route.group, route.freshness, performance.now(), floor)
      : { type: 'primary' },
    idleMs: desiredState()?.transactionIdleMs ?? route.timeoutMs
  })
}

async function executeIn (
  session: SessionState, open: CallerTransaction, work: DataWork
): Promise<StatementAnswer> {
  const scope = startScope(session, work.requestId, open)
  try {
    ensureKeyHeld(session, open)
    return await open.execute(scope, work)
  } catch (thrown) {
    if (!open.begun) {
      session.context.limits.refund(open.organisation)
    }
    return { ...failureAnswer('aborted', '', 'failed'), failure: failureOf(thrown, true) }
  } finally {
    session.trace.upstream = open.upstream
  }
}

async function commitOf (
  session: SessionState, ending: CallerTransaction, requestId: string, text: string
): Promise<StatementAnswer> {
  const scope = startScope(session, requestId, ending)
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
 * Creates the transaction state of a new session.
 *
 * @param session - the session
 * @returns the state: no transaction is open
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
    begin: async (readOnly) => {
      if (open !== undefined) {
        return failureAnswer('malformed', 'a transaction is open', stateNow())
      }
      open = await openTransaction(session, readOnly)
      failureReported = false
      return doneAnswer('open')
    },
    execute: async (work) => await executeIn(session, open!, work),
    commit: async (requestId, text) => {
      const ending = open
      open = undefined
      if (ending === undefined) {
        return failureAnswer('malformed', 'no transaction is open', 'idle')
      }
      return ending.failed
        ? failureAnswer('aborted', 'the transaction had failed; it was rolled back', 'idle')
        : await commitOf(session, ending, requestId, text)
    },
    rollBack: () => {
      if (open === undefined) {
        return failureAnswer('malformed', 'no transaction is open', 'idle')
      }
      open.rollBack()
      open = undefined
      return doneAnswer('idle')
    },
    refuseIfFailed,
    failureReported: () => { failureReported = true },
    abort: (reason) => open?.abort(reason),
    abandon: () => open?.rollBack(),
    forget: () => { open = undefined }
  }
}
