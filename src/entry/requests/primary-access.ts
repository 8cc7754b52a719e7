/**
 * Acquires executors at the primary of a group, either through one of its homes or on a connection of this host, which
 * requires a lease on the primary. `wait-rules.ts` decides how long a request waits for a primary.
 */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { SILENCE_MS } from '../pools/index.ts'
import { acquireConnection } from './acquire-connection.ts'
import { chooseHome } from './choose-home.ts'
import { createForwardingExecutor } from './forwarding-executor.ts'
import { createLocalExecutor, type LocalExecutor } from './local-executor.ts'
import { isLeaseValid } from './primary-rights.ts'
import { RETRY_PAUSE_MS } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { acceptsNewWork, failoverWaitMs, RETRY_AFTER_MS, retryAfterMsOf, WAIT_SHARE } from './wait-rules.ts'

/** Services needed to reach a primary. */
export type PrimaryContext = Pick<
  EntryContext, 'leadership' | 'directory' | 'homes' | 'pools' | 'freshness' | 'metrics' | 'drainMs' | 'logger'
>

/** Result of an attempt that found no usable primary; retrying shortly may succeed. */
type PrimaryUnavailable = { unavailableReason: string }

/**
 * Acquires an executor at the primary. Waits for a primary for a share of the request's remaining time, and longer
 * if a failover is expected to finish before its deadline.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @returns the executor
 * @throws RequestError with verdict `not-run`
 */
export async function acquirePrimaryExecutor (
  context: PrimaryContext, scope: RequestScope
): Promise<StatementExecutor> {
  const { leadership, directory } = context
  const { group, deadline } = scope
  const defaultDeadline = performance.now() + deadline.leftMs * WAIT_SHARE
  let reason = 'no primary is known'
  for (;;) {
    const until = primaryWaitDeadline(context, scope, defaultDeadline)
    const primary = await leadership.waitForPrimary(group, until - performance.now())
    if (primary === undefined) {
      break
    }
    const target = directory.get(primary.upstream)
    const outcome = target === undefined || !acceptsNewWork(target, context.drainMs, performance.now())
      ? { unavailableReason: 'the primary is leaving' }
      : createPrimaryForwardingExecutor(context, scope, target, primary.epoch) ??
        await acquireLocalPrimaryExecutor(context, scope, target, until - performance.now())
    if (!('unavailableReason' in outcome)) {
      return outcome
    }
    reason = outcome.unavailableReason
    if (performance.now() + RETRY_PAUSE_MS >= primaryWaitDeadline(context, scope, defaultDeadline)) {
      break
    }
    await pause(RETRY_PAUSE_MS)
  }
  const retryAfterMs = retryAfterMsOf(leadership.expectedRecoveryMs(group))
  throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs })
}

/** Time until which a request waits for a primary, on the monotonic clock; the default if no failover is expected. */
function primaryWaitDeadline (
  { leadership }: Pick<EntryContext, 'leadership'>, { group, deadline }: RequestScope, defaultDeadline: number
): number {
  const expectedMs = leadership.expectedRecoveryMs(group)
  return expectedMs === 0 ? defaultDeadline : performance.now() + failoverWaitMs(expectedMs, deadline.leftMs)
}

function createPrimaryForwardingExecutor (
  context: PrimaryContext, scope: RequestScope, target: KnownUpstream, epoch: number
): StatementExecutor | undefined {
  const home = chooseHome(context, target, scope)
  if (home === undefined) {
    return undefined
  }
  scope.attempts++
  return createForwardingExecutor(context, { home, target, resources: context.pools.of(target), epoch })
}

/**
 * Acquires an executor on a connection of this host to a primary, if this host holds the lease on that primary.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param target - the primary
 * @param waitMs - maximum wait for the lease and the connection together, in milliseconds
 * @returns the executor, or the reason why the primary cannot be used yet
 * @throws RequestError `Overloaded` if the primary's queue or pool has no capacity in time
 */
export async function acquireLocalPrimaryExecutor (
  context: PrimaryContext, scope: RequestScope, target: KnownUpstream, waitMs: number
): Promise<LocalExecutor | PrimaryUnavailable> {
  const { leadership, pools } = context
  const until = performance.now() + waitMs
  const primaryLease = await leadership.waitForLease(target.group, waitMs)
  if (primaryLease?.upstream !== target.upstream) {
    return {
      unavailableReason: primaryLease === undefined
        ? 'this host has no right to work at the primary'
        : 'the primary has changed'
    }
  }
  const resources = pools.of(target)
  if (resources.health.unreachableSince !== undefined) {
    leadership.recordLoss(target.group)
    leadership.suspect(target.upstream)
    return { unavailableReason: 'the primary cannot be reached' }
  }
  leadership.recordReachable(target.group)
  scope.attempts++
  try {
    const acquired = await acquireConnection(context, scope, resources, Math.max(1, until - performance.now()))
    if (isLeaseValid(context, target.group, primaryLease)) {
      return createLocalExecutor(context, { target, resources, ...acquired, primaryLease })
    }
    acquired.lease.release()
    acquired.releaseSlot()
    return { unavailableReason: 'the primary has changed' }
  } catch (thrown) {
    // Waiting longer at an overloaded primary would delay every request there.
    if (thrown instanceof RequestError && thrown.entry === 'Overloaded') {
      throw resources.health.isSilent ? silentPrimaryError(target) : thrown
    }
    return { unavailableReason: describeThrown(thrown) }
  }
}

/**
 * Returns the error for a request that was queued at a primary which answers nothing. Its retry delay allows for a
 * failover, unlike the shorter delay of a busy queue.
 */
function silentPrimaryError ({ group, upstream }: KnownUpstream): RequestError {
  return new RequestError('not-run', 'Overloaded', {
    group, reason: `${upstream} has answered nothing for ${SILENCE_MS} ms`, retryAfterMs: RETRY_AFTER_MS
  })
}
