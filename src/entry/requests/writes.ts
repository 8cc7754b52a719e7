/** Single writes: sent once to the primary, and again only when the upstream has certainly not run them. */
import { toRequestError, type ErrorName } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { FailureKind, StatementAnswer } from '../ports/index.ts'
import { NOT_RUN_PAUSE_MS, WRITE_ATTEMPTS } from './consts.ts'
import { seatAtPrimary } from './primary-access.ts'
import { noteAnswer } from './reads.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { Seat } from './seat.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Failures after which a write that was not run is sent again. */
const SENT_AGAIN: ReadonlySet<FailureKind> = new Set(['busy', 'read-only', 'unknown-statement', 'misrouted'])
/** Errors of a try that has not run anything, after which another way to the primary may do. */
const TRIED_AGAIN: ReadonlySet<ErrorName> = new Set<ErrorName>(['PeerUnavailable', 'NoUpstream', 'ConnectionLost'])

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
    const seat = await seatAtPrimary(context, scope)
    scope.upstream = seat.known.upstream
    const timed = await tryWrite(context, scope, work, seat)
    const failure = timed?.answer.failure
    if (timed !== undefined && (failure === undefined || !SENT_AGAIN.has(failure.kind) || !hasTime(scope))) {
      return timed.answer
    }
    if (failure !== undefined) {
      logRepeat(context, scope, failure.kind)
    }
    await pause(NOT_RUN_PAUSE_MS)
  }
}

/** Sends the write once; undefined when it has certainly not run and may be sent again. */
async function tryWrite (
  context: EntryContext, scope: RequestScope, work: DataWork, seat: Seat
): Promise<TimedAnswer | undefined> {
  try {
    const timed = await seat.runSingle(scope, work, false)
    noteAnswer(context, scope, timed)
    return timed
  } catch (thrown) {
    const error = toRequestError(thrown, 'may-have-run')
    const mayTryAgain = error.verdict === 'not-run' && TRIED_AGAIN.has(error.entry) && scope.attempts < WRITE_ATTEMPTS
    if (!mayTryAgain || !hasTime(scope)) {
      throw error
    }
    logRepeat(context, scope, error.message)
    return undefined
  }
}

function hasTime ({ deadline }: RequestScope): boolean {
  return deadline.leftMs >= NOT_RUN_PAUSE_MS * 2
}

function logRepeat ({ measures, logger }: EntryContext, scope: RequestScope, reason: string): void {
  measures.retry(reason.includes(' ') ? 'connection' : reason)
  const { requestId: id, group, upstream, home } = scope
  logger.log('info', 'write.repeated', { id, group, upstream, home, reason })
}
