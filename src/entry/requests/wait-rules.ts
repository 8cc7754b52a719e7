/**
 * How long a request waits for a primary and for a connection, and until when a leaving upstream gets new work. All
 * inputs are in milliseconds.
 *
 * - For a primary: `WAIT_SHARE` of its time while no failover is expected. When the next primary is expected within
 *   what is left of its time less `ANSWER_RESERVE_MS`, for all of that. Otherwise not at all: the caller gets a time
 *   after which to come back.
 * - For a connection: no longer than its requester allows, and no longer than `QUEUE_SHARE` of the time left for an
 *   answer in time, for which `QUEUE_LEAST_MS` is the least. A request that waits longer is late itself, and makes the
 *   ones behind it late too.
 * - A leaving upstream gets new work until `DRAIN_RESERVE_MS` before its drain time is over.
 */
import type { KnownUpstream } from '../directory/index.ts'

/** Part of a request's time for which it waits for a primary, or for a connection, before it is refused. */
export const WAIT_SHARE = 0.45
/**
 * Part of the time that is left for an answer in time for which a request waits for a connection: at an
 * overloaded primary those that wait longer are late, and make those behind them late too.
 */
const QUEUE_SHARE = 0.5
/** Least time for which a request waits for a connection, in milliseconds: opening one takes 12 ms and a round trip. */
const QUEUE_LEAST_MS = 40
/**
 * Time of a request that is kept for the statement itself while it waits for a primary, in milliseconds: the longest
 * ordinary statement takes 170 ms, and few do.
 */
const ANSWER_RESERVE_MS = 100
/** Time after which callers are told to come back when there is no primary, in milliseconds: about one promotion. */
export const RETRY_AFTER_MS = 300
/** Time of `drainMs` that is kept back, so that what is under way still arrives before its end, in milliseconds. */
const DRAIN_RESERVE_MS = 1500

/**
 * Returns how long a request waits for the primary that a failover is expected to bring.
 *
 * @param expectedMs - time in which the next primary is expected
 * @param leftMs - time left of the request's deadline
 * @returns the wait; 0 when the primary is expected too late
 */
export function failoverWaitMs (expectedMs: number, leftMs: number): number {
  const usableMs = leftMs - ANSWER_RESERVE_MS
  return expectedMs > usableMs ? 0 : usableMs
}

/**
 * Returns the time after which a caller should come back when there is no primary.
 *
 * @param expectedMs - time in which the next primary is expected; 0 when no failover is expected
 * @returns the time
 */
export function retryAfterMsOf (expectedMs: number): number {
  return Math.max(RETRY_AFTER_MS, Math.round(expectedMs))
}

/**
 * Returns how long a request waits for its turn at an upstream and for a connection.
 *
 * @param greatestWaitMs - greatest wait that the requester allows
 * @param inTimeMs - time left for an answer in time; negative when it is late already
 * @returns the wait
 */
export function connectionWaitMs (greatestWaitMs: number, inTimeMs: number): number {
  return Math.min(greatestWaitMs, Math.max(QUEUE_LEAST_MS, inTimeMs * QUEUE_SHARE))
}

/**
 * Reports whether an upstream may still get new work. One whose row is missing counts as leaving.
 *
 * @param known - the upstream
 * @param drainMs - time after which a leaving upstream must get nothing new
 * @param now - present time on the steady clock
 * @returns whether it may
 */
export function mayTakeWork (
  { drainingSince, missingSince }: Pick<KnownUpstream, 'drainingSince' | 'missingSince'>, drainMs: number, now: number
): boolean {
  const leavingSince = Math.min(drainingSince ?? Infinity, missingSince ?? Infinity)
  return now - leavingSince < drainMs - DRAIN_RESERVE_MS
}
