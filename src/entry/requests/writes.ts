/** Serves single writes at the primary; `retry-rules.ts` decides on retries. */
import { pause } from '../../core/time/deadline.ts'
import type { StatementAnswer } from '../ports/index.ts'
import { attemptStatement, failureCauseOf, finalAnswerOf } from './attempt.ts'
import { acquirePrimaryExecutor, type PrimaryContext } from './primary-access.ts'
import { decideWriteRetry, retryLabel, retryReason, type RetryCause } from './retry-rules.ts'
import type { ExecutableStatement, EntryContext, RequestScope } from './types.ts'

/**
 * Serves a single write.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param statement - the write
 * @returns the answer; `scope.upstream` is the upstream that gave it
 * @throws RequestError with the verdict on whether it may have run
 */
export async function serveWrite (
  context: PrimaryContext & Pick<EntryContext, 'costs' | 'logger'>, scope: RequestScope, statement: ExecutableStatement
): Promise<StatementAnswer> {
  for (;;) {
    const executor = await acquirePrimaryExecutor(context, scope)
    scope.upstream = executor.target.upstream
    const outcome = await attemptStatement(context, scope, statement, executor)
    const cause = failureCauseOf(outcome)
    if (cause === undefined) {
      return finalAnswerOf(outcome)
    }
    const decision = decideWriteRetry(cause, scope.attempts, scope.deadline.leftMs)
    if (decision.action === 'give-up') {
      return finalAnswerOf(outcome)
    }
    logRetry(context, scope, cause)
    await pause(decision.pauseMs)
  }
}

function logRetry (
  { metrics, logger }: Pick<EntryContext, 'metrics' | 'logger'>, scope: RequestScope, cause: RetryCause
): void {
  metrics.retry(retryLabel(cause))
  const { requestId: id, group, upstream, home } = scope
  logger.log('info', 'write.retried', { id, group, upstream, home, reason: retryReason(cause) })
}
