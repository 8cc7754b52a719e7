/**
 * Limits on how long a request waits for a primary or for a connection, and on how long a draining upstream still gets
 * new work. Durations are in milliseconds.
 */
import type { KnownUpstream } from '../directory/index.ts'

/** Share of a request's remaining time that it may spend waiting for a primary or a connection. */
export const WAIT_SHARE = 0.45
/**
 * Share of the time left until the soft deadline that a request may wait for a connection. The rest is needed to run
 * the statement; a longer wait would also delay the requests queued behind it.
 */
const QUEUE_WAIT_SHARE = 0.5
/** Minimum wait for a connection, in milliseconds; opening a new one takes 12 ms and a network round trip. */
const MINIMUM_QUEUE_WAIT_MS = 40
/** Time reserved for running the statement while its request waits for a primary, in milliseconds. */
const EXECUTION_RESERVE_MS = 100
/** Minimum retry delay reported to callers while a group has no primary, in milliseconds; about one promotion. */
export const RETRY_AFTER_MS = 300
/** Part of `drainMs` reserved for statements already on their way to the upstream, in milliseconds. */
const DRAIN_RESERVE_MS = 1500

/**
 * Returns how long a request waits for a failover to finish.
 *
 * @param expectedMs - expected time until the next primary
 * @param leftMs - time left until the request's deadline
 * @returns the wait; 0 if the primary is not expected in time
 */
export function failoverWaitMs (expectedMs: number, leftMs: number): number {
  const usableMs = leftMs - EXECUTION_RESERVE_MS
  return expectedMs > usableMs ? 0 : usableMs
}

/**
 * Returns the retry delay to report to a caller while there is no primary.
 *
 * @param expectedMs - expected time until the next primary; 0 if no failover is expected
 * @returns the delay, at least {@link RETRY_AFTER_MS}
 */
export function retryAfterMsOf (expectedMs: number): number {
  return Math.max(RETRY_AFTER_MS, Math.round(expectedMs))
}

/**
 * Returns how long a request waits for an execution slot and a connection at an upstream.
 *
 * @param maximumWaitMs - maximum wait that the caller of this function allows
 * @param softDeadlineLeftMs - time left until the request's soft deadline; negative once it has passed
 * @returns the wait
 */
export function connectionWaitMs (maximumWaitMs: number, softDeadlineLeftMs: number): number {
  return Math.min(maximumWaitMs, Math.max(MINIMUM_QUEUE_WAIT_MS, softDeadlineLeftMs * QUEUE_WAIT_SHARE))
}

/**
 * Reports whether an upstream may still get new work. One whose row is missing counts as draining.
 *
 * @param target - the upstream
 * @param drainMs - time after which a draining upstream must get no new work
 * @param now - current time on the monotonic clock
 * @returns true if new work may be sent to it
 */
export function acceptsNewWork (
  { drainingSince, missingSince }: Pick<KnownUpstream, 'drainingSince' | 'missingSince'>, drainMs: number, now: number
): boolean {
  const leavingSince = Math.min(drainingSince ?? Infinity, missingSince ?? Infinity)
  return now - leavingSince < drainMs - DRAIN_RESERVE_MS
}
