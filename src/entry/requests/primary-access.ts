/** The way to the primary of a group: through one of its homes, or directly while this host has the right to it. */
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import {
  ANSWER_RESERVE_MS, DRAIN_RESERVE_MS, NOT_RUN_PAUSE_MS, QUEUE_LEAST_MS, QUEUE_SHARE, RETRY_AFTER_MS, WAIT_SHARE
} from './consts.ts'
import { createHomeSeat } from './home-seat.ts'
import { createLocalSeat, holds, type LocalSeat, type Seat } from './seat.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** A connection whose user has its turn at the upstream. */
interface Turn {
  lease: ConnectionLease
  /** Ends the turn; the connection may be kept for a transaction. */
  leave: () => void
}

/**
 * Waits for a turn and a connection, and measures the wait, which ends early enough for an answer in time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param used - the upstream
 * @param greatestWaitMs - greatest wait, in milliseconds
 * @returns the turn and the connection
 * @throws RequestError with verdict `not-run`
 */
export async function acquire (
  { measures }: EntryContext, { organisation, values, priority, costMs, inTimeUntil }: RequestScope,
  { pool, queue: gate }: UsedUpstream, greatestWaitMs: number
): Promise<Turn> {
  const startedAt = performance.now()
  const inTimeMs = Math.max(QUEUE_LEAST_MS, (inTimeUntil - startedAt) * QUEUE_SHARE)
  const waitMs = Math.min(greatestWaitMs, inTimeMs)
  let leave = (): void => {}
  try {
    leave = await gate.enter({ priority, costMs, waitMs })
    const leftMs = Math.max(1, waitMs - (performance.now() - startedAt))
    const lease = await pool.acquire({ organisation, values, priority, waitMs: leftMs })
    measures.queue('done', performance.now() - startedAt)
    return { lease, leave }
  } catch (thrown) {
    leave()
    measures.queue('failed', performance.now() - startedAt)
    throw thrown
  }
}

/** Why there is no seat at a primary yet; it may help to try again soon. */
type NotYet = { notYet: string }

/**
 * Takes a seat at the primary, waiting for a primary for a part of the request's time.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @returns the seat
 * @throws RequestError with verdict `not-run`
 */
export async function seatAtPrimary (context: EntryContext, scope: RequestScope): Promise<Seat> {
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
      : seatThroughHome(context, scope, known, primary.epoch) ??
        await seatHere(context, scope, known, until - performance.now())
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

function seatThroughHome (
  context: EntryContext, scope: RequestScope, known: KnownUpstream, epoch: number
): Seat | undefined {
  const home = context.homes.choose(known, scope.triedHomes, scope.organisation)
  if (home === undefined) {
    return undefined
  }
  scope.attempts++
  return createHomeSeat(context, { home, known, used: context.pools.of(known), epoch })
}

/**
 * Takes a connection of this host to a primary, if it has the right to work there.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param known - the primary
 * @param waitMs - greatest wait for the right and for the connection, in milliseconds
 * @returns the seat, or why there is none yet
 * @throws RequestError `Overloaded`: there is a primary, and it has more work than it can do
 */
export async function seatHere (
  context: EntryContext, scope: RequestScope, known: KnownUpstream, waitMs: number
): Promise<LocalSeat | NotYet> {
  const { leadership, pools } = context
  const until = performance.now() + waitMs
  const right = await leadership.wait(known.group, waitMs)
  if (right?.upstream !== known.upstream) {
    return { notYet: right === undefined ? 'this host has no right to work at the primary' : 'the primary has changed' }
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
    const turn = await acquire(context, scope, used, Math.max(1, until - performance.now()))
    if (holds(context, known.group, right)) {
      return createLocalSeat(context, { known, used, ...turn, right })
    }
    turn.lease.release()
    turn.leave()
    return { notYet: 'the primary has changed' }
  } catch (thrown) {
    const error = thrown as RequestError
    // Waiting on at a primary with too much work makes everyone late.
    if (error.entry === 'Overloaded') {
      throw error
    }
    return { notYet: error.message }
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
