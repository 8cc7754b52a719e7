/**
 * Serves a statement outside a transaction. It counts against the limit of its organisation before it runs, and the
 * count is returned if no upstream has run it.
 */
import { toRequestError, type Verdict } from '../../core/errors/index.ts'
import { formatPosition } from '../../positions/position.ts'
import { verdictOf, type Route, type StatementAnswer } from '../ports/index.ts'
import { failureAnswer, failureOf } from './answers.ts'
import { findCallerRoute } from './caller-route.ts'
import { resolveReadConstraint, serveRead } from './reads.ts'
import { limitRequestOf, raiseFloor, startRequestScope, type SessionState } from './session-state.ts'
import { addTimeSpent } from './time-spent.ts'
import type { ExecutableStatement, RequestScope } from './types.ts'
import { serveWrite } from './writes.ts'

/**
 * Serves a single statement.
 *
 * @param session - the caller's session
 * @param statement - the statement
 * @returns the answer; errors after the limit check are answered as failures
 * @throws RequestError with verdict `not-run` if the caller has no route or its organisation has reached its limit
 */
export async function serveSingleStatement (
  session: SessionState, statement: ExecutableStatement
): Promise<StatementAnswer> {
  const { limits } = session.context
  const arrivedAt = performance.now()
  const callerRoute = findCallerRoute(session.desiredState(), session.link)
  const { route, organisation } = callerRoute
  const scope = startRequestScope(session, statement.requestId, callerRoute)
  scope.hasLastingEffect = statement.access === 'write'
  const takenAt = await limits.take(organisation, limitRequestOf(session, route))
  addTimeSpent(scope, 'grantMs', performance.now() - arrivedAt)
  const giveBackUnlessRun = (verdict: Verdict): void => {
    if (verdict === 'not-run') {
      limits.refund(organisation, takenAt)
    }
  }
  try {
    const answer = statement.access === 'write'
      ? await serveSingleWrite(session, scope, statement)
      : await serveSingleRead(session, scope, statement, route, arrivedAt)
    if (answer.failure !== undefined) {
      giveBackUnlessRun(verdictOf(answer.failure.kind))
    }
    return answer
  } catch (thrown) {
    giveBackUnlessRun(toRequestError(thrown, 'may-have-run').verdict)
    return { ...failureAnswer('busy', '', 'idle'), failure: failureOf(thrown, statement.access === 'read') }
  }
}

async function serveSingleWrite (
  session: SessionState, scope: RequestScope, statement: ExecutableStatement
): Promise<StatementAnswer> {
  const answer = await serveWrite(session.context, scope, statement)
  if (answer.failure === undefined) {
    raiseFloor(session, answer)
  }
  return answer
}

async function serveSingleRead (
  session: SessionState, scope: RequestScope, statement: ExecutableStatement, route: Route, arrivedAt: number
): Promise<StatementAnswer> {
  const constraint = await resolveReadConstraint(
    session.context, route.group, route.freshness, arrivedAt, session.floor
  )
  session.trace.floor = constraint.type === 'after' ? formatPosition(constraint.position) : 'primary'
  const answer = await serveRead(session.context, scope, statement, constraint)
  session.trace.upstream = answer.upstream
  return answer
}
