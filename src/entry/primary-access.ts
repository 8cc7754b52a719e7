/** The way to the primary of a group, while this host has the right to work there. */
import { RequestError } from '../core/errors/index.ts'
import { pause } from '../core/time/deadline.ts'
import type { PrimaryRight } from '../leadership/index.ts'
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import {
  DRAIN_RESERVE_MS, NOT_RUN_PAUSE_MS, QUEUE_LEAST_MS, QUEUE_SHARE, RETRY_AFTER_MS, WAIT_SHARE
} from './consts.ts'
import type { ChosenUpstream, EntryContext, RequestScope } from './types.ts'

/**
 * Takes a connection from a pool and measures the wait, which ends early enough for an answer in time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param used - the upstream
 * @param greatestWaitMs - greatest wait, in milliseconds
 * @returns the connection
 * @throws RequestError with verdict `not-run`
 */
export async function acquire (
  { measures }: EntryContext, { values, priority, inTimeUntil }: RequestScope, { pool }: UsedUpstream,
  greatestWaitMs: number
): Promise<ConnectionLease> {
  const startedAt = performance.now()
  const inTimeMs = Math.max(QUEUE_LEAST_MS, (inTimeUntil - startedAt) * QUEUE_SHARE)
  const waitMs = Math.min(greatestWaitMs, inTimeMs)
  try {
    const lease = await pool.acquire({ values, priority, waitMs })
    measures.queue('done', performance.now() - startedAt)
    return lease
  } catch (thrown) {
    measures.queue('failed', performance.now() - startedAt)
    throw thrown
  }
}

/** A connection to the primary. */
export interface PrimaryLease extends ChosenUpstream {
  lease: ConnectionLease
  right: PrimaryRight
}

/**
 * Takes a connection to the primary, waiting for a primary for a part of the request's time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @returns the connection
 * @throws RequestError with verdict `not-run`
 */
export async function leasePrimary (context: EntryContext, scope: RequestScope): Promise<PrimaryLease> {
  const { leadership, directory, pools } = context
  const { group, deadline } = scope
  const until = performance.now() + deadline.leftMs * WAIT_SHARE
  let reason = 'no primary is known'
  while (performance.now() < until) {
    const right = await leadership.wait(group, until - performance.now())
    const known = right === undefined ? undefined : directory.get(right.upstream)
    if (right === undefined) {
      break
    }
    if (known === undefined || !mayTakeWork(known, context.drainMs)) {
      reason = 'the primary is leaving'
      await pause(NOT_RUN_PAUSE_MS)
      continue
    }
    const used = pools.of(known)
    if (used.health.unreachableSince !== undefined) {
      reason = 'the primary cannot be reached'
      leadership.suspect(known.upstream)
      await pause(NOT_RUN_PAUSE_MS)
      continue
    }
    scope.attempts++
    const lease = await acquire(context, scope, used, Math.max(1, until - performance.now()))
      .catch((thrown: RequestError) => {
        // There is a primary, and it has more work than it can do: waiting on makes everyone late.
        if (thrown.entry === 'Overloaded') {
          throw thrown
        }
        reason = thrown.message
        return undefined
      })
    if (lease === undefined) {
      await pause(NOT_RUN_PAUSE_MS)
      continue
    }
    if (holds(context, group, right)) {
      return { known, used, lease, right }
    }
    lease.release()
  }
  throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs: RETRY_AFTER_MS })
}

/**
 * Says whether a right is still good; asked right before each sending.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param right - the right under which the work began
 * @returns whether it is
 */
export function holds ({ leadership }: EntryContext, group: string, right: PrimaryRight): boolean {
  return leadership.of(group)?.epoch === right.epoch
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
