/** Records what an upstream's answer shows: of the primary's log, of a replica's lag, of the statement's cost. */
import type { FailureKind, StatementAnswer } from '../ports/index.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Failures of an upstream that is not the primary, or has lost what it had: its position proves nothing. */
const NOT_OF_PRIMARY: ReadonlySet<FailureKind | undefined> = new Set<FailureKind>(['read-only', 'lagging'])

/**
 * Records what an answer proves of the primary's log, and how long the statement took.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param timed - the answer
 */
export function recordAnswer (
  { freshness, costs }: Pick<EntryContext, 'freshness' | 'costs'>, { group, database }: RequestScope,
  { answer, sentAt, ranMs, epoch }: TimedAnswer
): void {
  if (epoch !== undefined && answer.position !== undefined && !NOT_OF_PRIMARY.has(answer.failure?.kind)) {
    freshness.of(group).record(epoch, sentAt, answer.position)
  }
  if (database !== undefined && answer.signature !== undefined && ranMs > 0) {
    costs.record(database, ranMs)
  }
}

/**
 * Records whether a replica lagged, and how far its log is.
 *
 * @param executor - where the statement ran
 * @param answer - its answer
 */
export function recordLag ({ used, after }: StatementExecutor, answer: StatementAnswer): void {
  if (answer.position !== undefined) {
    used.health.reachedPosition(answer.position)
  }
  if (answer.failure?.kind === 'lagging') {
    used.health.lagged()
  } else if (answer.failure === undefined && after !== undefined) {
    used.health.caughtUp()
  }
}
