/**
 * The way to the primary of a group: through one of its homes, or directly while this host holds its lease. How long a
 * request waits for a primary is decided in `wait-rules.ts`.
 */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { SILENCE_MS } from '../pools/index.ts'
import { acquireConnection } from './acquire-connection.ts'
import { createForwardingExecutor } from './forwarding-executor.ts'
import { createLocalExecutor, holdsLease, type LocalExecutor } from './local-executor.ts'
import { NOT_RUN_PAUSE_MS } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { failoverWaitMs, mayTakeWork, RETRY_AFTER_MS, retryAfterMsOf, WAIT_SHARE } from './wait-rules.ts'

/** What the way to a primary needs from the rest of the process. */
export type PrimaryContext = Pick<
  EntryContext, 'leadership' | 'directory' | 'homes' | 'pools' | 'freshness' | 'measures' | 'drainMs'
>

/** Why there is no executor at a primary yet; it may help to try again soon. */
type NotYet = { notYet: string }

/**
 * Returns an executor at the primary, waiting for a primary for a part of the request's time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @returns the executor
 * @throws RequestError with verdict `not-run`
 */
export async function executorAtPrimary (context: PrimaryContext, scope: RequestScope): Promise<StatementExecutor> {
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
    const outcome = known === undefined || !mayTakeWork(known, context.drainMs, performance.now())
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
  const retryAfterMs = retryAfterMsOf(leadership.expectedRecoveryMs(group))
  throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs })
}

/** Until when a request waits for a primary, on the steady clock; `otherwise` while no failover is expected. */
function waitUntil (
  { leadership }: Pick<EntryContext, 'leadership'>, { group, deadline }: RequestScope, otherwise: number
): number {
  const expectedMs = leadership.expectedRecoveryMs(group)
  return expectedMs === 0 ? otherwise : performance.now() + failoverWaitMs(expectedMs, deadline.leftMs)
}

function forwardingExecutorAtPrimary (
  context: PrimaryContext, scope: RequestScope, known: KnownUpstream, epoch: number
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
  context: PrimaryContext, scope: RequestScope, known: KnownUpstream, waitMs: number
): Promise<LocalExecutor | NotYet> {
  const { leadership, pools } = context
  const until = performance.now() + waitMs
  const primaryLease = await leadership.waitForLease(known.group, waitMs)
  if (primaryLease?.upstream !== known.upstream) {
    return { notYet: primaryLease === undefined ? 'this host has no right to work at the primary' : 'the primary has changed' }
  }
  const used = pools.of(known)
  if (used.health.unreachableSince !== undefined) {
    leadership.recordLoss(known.group)
    leadership.suspect(known.upstream)
    return { notYet: 'the primary cannot be reached' }
  }
  leadership.recordReachable(known.group)
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
    // Waiting on at an overloaded primary makes every request there late.
    if (thrown instanceof RequestError && thrown.entry === 'Overloaded') {
      throw used.health.isSilent ? silentPrimary(known) : thrown
    }
    return { notYet: describeThrown(thrown) }
  }
}

/**
 * The refusal of a request that has waited behind others at a primary which answers none of them: to come back as soon
 * as the queue of a busy one allows would be too soon.
 */
function silentPrimary ({ group, upstream }: KnownUpstream): RequestError {
  return new RequestError('not-run', 'Overloaded', {
    group, reason: `${upstream} has answered nothing for ${SILENCE_MS} ms`, retryAfterMs: RETRY_AFTER_MS
  })
}
