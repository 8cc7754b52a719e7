/** Records the log position, the replication lag and the statement's cost that an upstream's answer reports. */
import type { FailureKind, StatementAnswer } from '../ports/index.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor } from './statement-executor.ts'
import { addTimeSpent } from './time-spent.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Failures after which an answer's position proves nothing: the upstream is not the primary, or its log is behind. */
const NON_PRIMARY_FAILURES: ReadonlySet<FailureKind | undefined> = new Set<FailureKind>(['read-only', 'lagging'])

/**
 * Records the position of the primary's log that an answer proves, and how long the statement took.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param timed - the answer and its times
 */
export function recordAnswer (
  { freshness, costs }: Pick<EntryContext, 'freshness' | 'costs'>, scope: RequestScope,
  { answer, sentAt, ranMs, epoch }: TimedAnswer
): void {
  const { group, database } = scope
  addTimeSpent(scope, 'upstreamMs', ranMs)
  if (epoch !== undefined && answer.position !== undefined && !NON_PRIMARY_FAILURES.has(answer.failure?.kind)) {
    freshness.of(group).record(epoch, sentAt, answer.position)
  }
  if (database !== undefined && answer.signature !== undefined && ranMs > 0) {
    costs.record(database, ranMs)
  }
}

/** Failures that show a fault of the upstream, and not of the statement or of the choice of the upstream. */
const UPSTREAM_FAILURES: ReadonlySet<FailureKind | undefined> = new Set<FailureKind>(['failed', 'timeout'])

/**
 * Records the outcome of a read, by which its upstream is compared with the others of the group. Other failures are
 * ignored: the read was not run, or the statement is at fault.
 *
 * @param executor - executor that ran the read
 * @param scope - the request
 * @param timed - the answer and its time
 */
export function recordReadOutcome (
  { resources }: Pick<StatementExecutor, 'resources'>, { costMs }: Pick<RequestScope, 'costMs'>,
  { answer: { failure }, ranMs }: Pick<TimedAnswer, 'answer' | 'ranMs'>
): void {
  const failed = UPSTREAM_FAILURES.has(failure?.kind)
  if (failed || failure === undefined) {
    resources.health.outcomes.record({ ranMs, costMs, failed })
  }
}

/**
 * Records the log position of an upstream, and whether it lagged behind the required one.
 *
 * @param executor - executor that ran the statement
 * @param answer - its answer
 */
export function recordLag ({ resources, after }: StatementExecutor, answer: StatementAnswer): void {
  if (answer.position !== undefined) {
    resources.health.recordPosition(answer.position)
  }
  if (answer.failure?.kind === 'lagging') {
    resources.health.recordLag()
  } else if (answer.failure === undefined && after !== undefined) {
    resources.health.recordCaughtUp()
  }
}
