/** Logs each request of a caller and records its duration in the metrics. */
import type { CallerRequest, StatementAnswer } from '../ports/index.ts'
import { formatPosition } from '../../positions/position.ts'
import { timeSpentFields } from './time-spent.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Details of a request for the log; fields that do not apply are undefined. */
export interface RequestTrace {
  scope?: RequestScope
  /** Upstream that answered it, if any. */
  upstream?: string
  /** Log position that a read required, or `primary`. */
  floor?: string
}

/** The desired state in force when a request began. */
export interface StateAtStart {
  /** Version of the state; undefined if none was known. */
  version?: number
  /** Time since the store confirmed it, in milliseconds. */
  ageMs: number
}

/**
 * Logs a finished request and records its duration. Requests that succeed without an upstream are not logged.
 *
 * @param context - services of the entry process
 * @param database - the caller's database
 * @param request - the request
 * @param answer - its answer
 * @param trace - details of how it was served
 * @param stateAtStart - the desired state in force when it began
 * @param durationMs - duration of the request, in milliseconds
 */
export function reportRequest (
  { logger, metrics }: Pick<EntryContext, 'logger' | 'metrics'>, database: string,
  { id, statement }: CallerRequest, answer: StatementAnswer, { scope, upstream, floor }: RequestTrace,
  stateAtStart: StateAtStart, durationMs: number
): void {
  const { failure, signature, state, position } = answer
  const outcome = failure?.kind ?? 'done'
  metrics.request(`${statement.type} ${outcome}`, durationMs)
  if (signature === undefined && failure === undefined) {
    return
  }
  const succeeded = failure === undefined
  logger.log(succeeded ? 'info' : 'warn', succeeded ? 'request.done' : 'request.failed', {
    id,
    type: statement.type,
    database,
    group: scope?.group,
    organisation: scope?.organisation,
    upstream: upstream ?? scope?.upstream,
    home: scope?.home,
    floor,
    attempts: scope?.attempts ?? 0,
    outcome,
    reason: failure?.message,
    state,
    position: formatPosition(position),
    version: stateAtStart.version,
    ageMs: Math.round(stateAtStart.ageMs),
    ...timeSpentFields(scope),
    ms: Math.round(durationMs)
  })
}
