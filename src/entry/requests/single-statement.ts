/**
 * Serves a statement outside a transaction.
 *
 * Does it count against the limit of its organisation? It is counted before it begins; what no upstream has run, by its
 * answer or its error, is given back.
 */
import { toRequestError, type Verdict } from '../../core/errors/index.ts'
import { formatPosition } from '../../positions/position.ts'
import { verdictOf, type Route, type StatementAnswer } from '../ports/index.ts'
import { failureAnswer, failureOf } from './answers.ts'
import { findCallerRoute } from './caller-route.ts'
import { placeRead, serveRead } from './reads.ts'
import { raiseFloor, startScope, type SessionState } from './session-state.ts'
import type { DataWork, RequestScope } from './types.ts'
import { serveWrite } from './writes.ts'

/**
 * Serves a single statement.
 *
 * @param session - the caller's session
 * @param work - the statement
 * @returns the answer
 * @throws RequestError with verdict `not-run` for callers that are not served, or whose limit is reached
 */
export async function serveSingle (session: SessionState, work: DataWork): Promise<StatementAnswer> {
  const { limits } = session.context
  const arrivedAt = performance.now()
  const callerRoute = findCallerRoute(session.desiredState(), session.link)
  const { route, organisation } = callerRoute
  const scope = startScope(session, work.requestId, callerRoute)
  await limits.take(organisation)
  const giveBackUnlessRun = (verdict: Verdict): void => {
    if (verdict === 'not-run') {
      limits.refund(organisation)
    }
  }
  try {
    const answer = work.access === 'write'
      ? await writeSingle(session, scope, work)
      : await readSingle(session, scope, work, route, arrivedAt)
    if (answer.failure !== undefined) {
      giveBackUnlessRun(verdictOf(answer.failure.kind))
    }
    return answer
  } catch (thrown) {
    giveBackUnlessRun(toRequestError(thrown, 'may-have-run').verdict)
    return { ...failureAnswer('busy', '', 'idle'), failure: failureOf(thrown, work.access === 'read') }
  }
}

async function writeSingle (session: SessionState, scope: RequestScope, work: DataWork): Promise<StatementAnswer> {
  const answer = await serveWrite(session.context, scope, work)
  if (answer.failure === undefined) {
    raiseFloor(session, answer)
  }
  return answer
}

async function readSingle (
  session: SessionState, scope: RequestScope, work: DataWork, route: Route, arrivedAt: number
): Promise<StatementAnswer> {
  const place = await placeRead(session.context, route.group, route.freshness, arrivedAt, session.floor)
  session.trace.floor = place.type === 'after' ? formatPosition(place.position) : 'primary'
  const answer = await serveRead(session.context, scope, work, place)
  session.trace.upstream = answer.upstream
  return answer
}
