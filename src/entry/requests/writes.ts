/** Serves single writes: each goes to the primary, and again only as `retry-rules.ts` decides. */
import { pause } from '../../core/time/deadline.ts'
import type { StatementAnswer } from '../ports/index.ts'
import { attemptStatement, failureCauseOf, finalAnswerOf } from './attempt.ts'
import { executorAtPrimary, type PrimaryContext } from './primary-access.ts'
import { decideWrite, retryLabel, retryReason, type RetryCause } from './retry-rules.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/**
 * Serves a single write.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param work - the write
 * @returns the answer; the scope names the upstream that gave it
 * @throws RequestError with the verdict on whether it may have run
 */
export async function serveWrite (
  context: PrimaryContext & Pick<EntryContext, 'costs' | 'logger'>, scope: RequestScope, work: DataWork
): Promise<StatementAnswer> {
  for (;;) {
    const executor = await executorAtPrimary(context, scope)
    scope.upstream = executor.known.upstream
    const outcome = await attemptStatement(context, scope, work, executor)
    const cause = failureCauseOf(outcome)
    if (cause === undefined) {
      return finalAnswerOf(outcome)
    }
    const decision = decideWrite(cause, scope.attempts, scope.deadline.leftMs)
    if (decision.action === 'give-up') {
      return finalAnswerOf(outcome)
    }
    logRepeat(context, scope, cause)
    await pause(decision.pauseMs)
  }
}

function logRepeat (
  { measures, logger }: Pick<EntryContext, 'measures' | 'logger'>, scope: RequestScope, cause: RetryCause
): void {
  measures.retry(retryLabel(cause))
  const { requestId: id, group, upstream, home } = scope
  logger.log('info', 'write.repeated', { id, group, upstream, home, reason: retryReason(cause) })
}
