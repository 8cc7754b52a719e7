/** One line for each request of a caller, and its time in the histograms. */
import type { CallerRequest, StatementAnswer } from '../ports/index.ts'
import { formatPosition } from '../../positions/position.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** What was done for a request; undefined fields were not needed. */
export interface RequestTrace {
  scope?: RequestScope
  /** Upstream that served it, if one was used. */
  upstream?: string
  /** Position that a read had to find, or `primary`. */
  floor?: string
}

/**
 * Reports the end of a request. Statements that worksward answers by itself with success get no line.
 *
 * @param context - the rest of the process
 * @param database - the caller's database
 * @param request - the request
 * @param answer - its answer
 * @param trace - what was done for it
 * @param durationMs - the time it took, in milliseconds
 */
export function reportRequest (
  { logger, measures }: Pick<EntryContext, 'logger' | 'measures'>, database: string, { id, statement }: CallerRequest, answer: StatementAnswer,
  { scope, upstream, floor }: RequestTrace, durationMs: number
): void {
  const { failure, signature, state, position } = answer
  const outcome = failure?.kind ?? 'done'
  measures.request(`${statement.type} ${outcome}`, durationMs)
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
    ms: Math.round(durationMs)
  })
}
