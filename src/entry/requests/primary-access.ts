/**
 * The way to the primary of a group: through one of its homes, or directly while this host holds its lease.
 *
 * How long does a request wait for a primary? Inputs, in milliseconds: the time left of its deadline, and the time in
 * which leadership expects the next primary, 0 while no failover is expected. At 0 it waits for {@link WAIT_SHARE} of
 * its time. When the primary is expected within what is left less {@link ANSWER_RESERVE_MS}, it waits for all of that.
 * Otherwise it is refused at once, and told to come back after the expected time, {@link RETRY_AFTER_MS} at least.
 */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { acquireConnection, WAIT_SHARE } from './acquire-connection.ts'
import { createForwardingExecutor } from './forwarding-executor.ts'
import { createLocalExecutor, holdsLease, type LocalExecutor } from './local-executor.ts'
import { NOT_RUN_PAUSE_MS } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Time after which callers are told to come back when there is no primary, in milliseconds: about one promotion. */
export const RETRY_AFTER_MS = 300
/**
 * Time of a request that is kept for the statement itself while it waits for a primary, in milliseconds: the longest
 * ordinary statement takes 170 ms, and few do.
 */
const ANSWER_RESERVE_MS = 100
/**
 * Time of `drainMs` that is kept back, so that what is under way still arrives before its end, in milliseconds. Chosen,
 * not measured.
 */
const DRAIN_RESERVE_MS = 1500

/** Why there is no executor at a primary yet; it may help to try again soon. */
type NotYet = { notYet: string }

/**
 * Takes an executor at the primary, waiting for a primary for a part of the request's time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @returns the executor
 * @throws RequestError with verdict `not-run`
 */
export async function executorAtPrimary (context: EntryContext, scope: RequestScope): Promise<StatementExecutor> {
  const { leadership, directory } = context
  const { group, deadline } = scope
  const greatestWait = performance.now() + deadline.leftMs * WAIT_SHARE
  let reason = 'no primary is known'
  for (;;) {
    const until = waitUntil(context, scope, greatestWait)
    const primary = await leadership.waitForPrimary(group, until - performance.now())
    if (primary === undefined) {
      break
    }
    const known = directory.get(primary.upstream)
    const outcome = known === undefined || !mayTakeWork(known, context.drainMs)
      ? { notYet: 'the primary is leaving' }
      : forwardingExecutorAtPrimary(context, scope, known, primary.epoch) ??
        await localExecutorAtPrimary(context, scope, known, until - performance.now())
    if (!('notYet' in outcome)) {
      return outcome
    }
    reason = outcome.notYet
    if (performance.now() + NOT_RUN_PAUSE_MS >= waitUntil(context, scope, greatestWait)) {
      break
    }
    await pause(NOT_RUN_PAUSE_MS)
  }
  const retryAfterMs = Math.max(RETRY_AFTER_MS, Math.round(leadership.expectedMs(group)))
  throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs })
}

/**
 * Says until when a request waits for a primary: for nearly all of its time when one is expected by then, and not at
 * all when none is.
 */
function waitUntil ({ leadership }: EntryContext, { group, deadline }: RequestScope, otherwise: number): number {
  const expectedMs = leadership.expectedMs(group)
  if (expectedMs === 0) {
    return otherwise
  }
  const leftMs = deadline.leftMs - ANSWER_RESERVE_MS
  return performance.now() + (expectedMs > leftMs ? 0 : leftMs)
}

function forwardingExecutorAtPrimary (
  context: EntryContext, scope: RequestScope, known: KnownUpstream, epoch: number
): StatementExecutor | undefined {
  const home = context.homes.choose(known, scope.triedHomes, scope.organisation)
  if (home === undefined) {
    return undefined
  }
  scope.attempts++
  return createForwardingExecutor(context, { home, known, used: context.pools.of(known), epoch })
}

/**
 * Takes a connection of this host to a primary, if the host holds a lease on working there.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param known - the primary
 * @param waitMs - greatest wait for the lease and for the connection, in milliseconds
 * @returns the executor, or why there is none yet
 * @throws RequestError `Overloaded`: there is a primary, and it has more work than it can do
 */
export async function localExecutorAtPrimary (
  context: EntryContext, scope: RequestScope, known: KnownUpstream, waitMs: number
): Promise<LocalExecutor | NotYet> {
  const { leadership, pools } = context
  const until = performance.now() + waitMs
  const primaryLease = await leadership.wait(known.group, waitMs)
  if (primaryLease?.upstream !== known.upstream) {
    return { notYet: primaryLease === undefined ? 'this host has no right to work at the primary' : 'the primary has changed' }
  }
  const used = pools.of(known)
  if (used.health.unreachableSince !== undefined) {
    leadership.lost(known.group)
    leadership.suspect(known.upstream)
    return { notYet: 'the primary cannot be reached' }
  }
  leadership.reached(known.group)
  scope.attempts++
  try {
    const turn = await acquireConnection(context, scope, used, Math.max(1, until - performance.now()))
    if (holdsLease(context, known.group, primaryLease)) {
      return createLocalExecutor(context, { known, used, ...turn, primaryLease })
    }
    turn.lease.release()
    turn.leave()
    return { notYet: 'the primary has changed' }
  } catch (thrown) {
    // Waiting on at a primary with too much work makes everyone late.
    if (thrown instanceof RequestError && thrown.entry === 'Overloaded') {
      throw thrown
    }
    return { notYet: describeThrown(thrown) }
  }
}

/**
 * Says whether an upstream may still get new work.
 *
 * @param known - the upstream
 * @param drainMs - time after which a leaving upstream must get nothing new, in milliseconds
 * @returns whether it may
 */
export function mayTakeWork ({ drainingSince, missingSince }: KnownUpstream, drainMs: number): boolean {
  const leavingSince = Math.min(drainingSince ?? Infinity, missingSince ?? Infinity)
  return performance.now() - leavingSince < drainMs - DRAIN_RESERVE_MS
}
