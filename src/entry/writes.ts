/** Single writes: sent once to the primary, and again only when the upstream has certainly not run them. */
import { pause } from '../core/time/deadline.ts'
import type { FailureKind, StatementAnswer } from '../ports/index.ts'
import { NOT_RUN_PAUSE_MS } from './consts.ts'
import { holds, leasePrimary } from './primary-access.ts'
import { recordProof, runOptions } from './reads.ts'
import { runWork } from './run-statement.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Failures after which a write that was not run is sent again. */
const SENT_AGAIN: ReadonlySet<FailureKind> = new Set(['busy', 'read-only', 'unknown-statement', 'misrouted'])

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
  context: EntryContext, scope: RequestScope, work: DataWork
): Promise<StatementAnswer> {
  for (;;) {
    const chosen = await leasePrimary(context, scope)
    const upstream = chosen.known.upstream
    scope.upstream = upstream
    const timed = await runWork(work, scope.values, undefined, runOptions(context, chosen, scope, false),
      () => holds(context, scope.group, chosen.right))
    chosen.lease.release()
    recordProof(context, scope.group, chosen.right, timed)
    const { answer } = timed
    const again = answer.failure !== undefined && SENT_AGAIN.has(answer.failure.kind)
    if (!again || scope.deadline.leftMs < NOT_RUN_PAUSE_MS * 2) {
      return answer
    }
    context.measures.retry(answer.failure!.kind)
    context.logger.log('info', 'write.repeated', {
      id: scope.requestId, group: scope.group, upstream, reason: answer.failure!.kind
    })
    await pause(NOT_RUN_PAUSE_MS)
  }
}
