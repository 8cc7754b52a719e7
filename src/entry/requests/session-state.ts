/** What the requests of one session share: its caller, its values, its floor, and the trace of the current request. */
import { Deadline } from '../../core/time/deadline.ts'
import { laterPosition, type LogPosition } from '../../positions/position.ts'
import type { CallerLink, DesiredState, StatementAnswer } from '../ports/index.ts'
import type { CallerRoute } from './caller-route.ts'
import type { RequestTrace } from './request-log.ts'
import { createSessionNames, type SessionNames } from './session-names.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** State of a session. */
export interface SessionState {
  readonly context: EntryContext
  readonly link: CallerLink
  readonly desiredState: () => DesiredState | undefined
  readonly names: SessionNames
  /** Position that a read must find to see the session's own writes. */
  floor: LogPosition | undefined
  /** What was done for the current request. */
  trace: RequestTrace
}

/**
 * Creates the state of a new session.
 *
 * @param options - the caller and the rest of the process
 * @returns the state
 */
export function createSessionState (
  { context, link, desiredState }: Pick<SessionState, 'context' | 'link' | 'desiredState'>
): SessionState {
  return { context, link, desiredState, names: createSessionNames(), floor: undefined, trace: {} }
}

/**
 * Raises the floor of a session to the position of a write that was acknowledged.
 *
 * @param session - the session
 * @param answer - the upstream's answer
 */
export function raiseFloor (session: Pick<SessionState, 'floor'>, { position }: StatementAnswer): void {
  if (position !== undefined) {
    session.floor = session.floor === undefined ? position : laterPosition(session.floor, position)
  }
}

/**
 * Creates the scope of the current request, and traces it. Its deadline starts here.
 *
 * @param session - the session
 * @param requestId - id of the request
 * @param callerRoute - route and organisation by which it is served
 * @returns the scope
 */
export function startScope (
  session: SessionState, requestId: string, { route, organisation }: CallerRoute
): RequestScope {
  const scope: RequestScope = {
    requestId,
    group: route.group,
    organisation: organisation.name,
    version: session.desiredState()?.version ?? 0,
    priority: route.priority,
    database: route.database,
    costMs: session.context.costs.of(route.database),
    values: session.names.values,
    deadline: new Deadline(route.timeoutMs),
    inTimeUntil: performance.now() + route.targetMs,
    attempts: 0,
    triedHomes: new Set()
  }
  session.trace = { scope }
  return scope
}
