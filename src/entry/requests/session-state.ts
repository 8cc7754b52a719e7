/** State shared by the requests of a session, and the scope of each request. */
import { Deadline } from '../../core/time/deadline.ts'
import { laterPosition, type LogPosition } from '../../positions/position.ts'
import type { CallerLink, DesiredState, Route, StatementAnswer } from '../ports/index.ts'
import type { OperationRequest } from '../limits/index.ts'
import type { CallerRoute } from './caller-route.ts'
import type { RequestTrace } from './request-log.ts'
import { createSessionNames, type SessionNames } from './session-names.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** State that the requests of a session share. */
export interface SessionState {
  readonly context: EntryContext
  readonly link: CallerLink
  readonly desiredState: () => DesiredState | undefined
  readonly names: SessionNames
  /** Log position of the session's last acknowledged write; its own reads must see at least this position. */
  floor: LogPosition | undefined
  /** Details of the current request for the log. */
  trace: RequestTrace
  /** Ends the wait of the current request for its turn within a limit; undefined while it does not wait. */
  cancelWait?: (() => void) | undefined
  /** Time that the current request has waited before it is served, which counts against its deadlines. */
  waitedMs: number
  /** Whether its requests have been answered because this host is stopping; nothing is sent for them any more. */
  isInterrupted: boolean
}

/**
 * Creates the state of a new session.
 *
 * @param options - the caller's link, the services and the desired state
 * @returns the state
 */
export function createSessionState (
  { context, link, desiredState }: Pick<SessionState, 'context' | 'link' | 'desiredState'>
): SessionState {
  const names = createSessionNames(context.memory)
  return { context, link, desiredState, names, floor: undefined, trace: {}, waitedMs: 0, isInterrupted: false }
}

/**
 * Raises the session's floor to the position of an acknowledged write. Never lowers it.
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
 * Creates the scope of a request, starts its deadline and resets the session's trace.
 *
 * @param session - the session
 * @param requestId - id of the request
 * @param callerRoute - route and organisation that apply to the request
 * @returns the scope
 */
export function startRequestScope (
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
    deadline: new Deadline(Math.max(1, route.timeoutMs - session.waitedMs)),
    softDeadline: performance.now() + route.targetMs - session.waitedMs,
    attempts: 0,
    triedHomes: new Set()
  }
  if (session.isInterrupted) {
    scope.deadline.expire()
  }
  session.trace = { scope }
  return scope
}

/** Part of the time until the route's target that an operation may wait for its turn; the rest is needed to run it. */
const TURN_WAIT_SHARE = 0.5

/**
 * Describes an operation that has just arrived to the limit of its organisation.
 *
 * @param session - the session, which can end the wait
 * @param route - route of the caller
 * @returns the operation
 */
export function limitRequestOf (session: SessionState, { priority, targetMs, timeoutMs }: Route): OperationRequest {
  const maximumWaitMs = session.isInterrupted ? 0 : targetMs * TURN_WAIT_SHARE
  return { priority, maximumWaitMs, timeoutMs, holder: session }
}
