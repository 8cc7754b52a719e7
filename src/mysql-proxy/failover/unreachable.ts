/**
 * Decides when a primary is unreachable: this keeper has counted enough consecutive failures, and observers in
 * {@link REQUIRED_DOMAINS} failure domains have reported the primary in its term, so that a single broken link does not
 * cause a failover.
 */
import { ConnectionLostError } from '../../mysql/connection-lost.ts'

/** Number of failure domains that must report a primary; more than a single broken link can affect. */
export const REQUIRED_DOMAINS = 2

/** Failures of a primary. */
interface PrimaryFailures {
  /** Consecutive failures of this keeper, as counted by {@link countFailure}. */
  failures: number
  /** Threshold of consecutive failures. */
  failuresNeeded: number
  /** Number of failure domains with a recent observation. */
  domains: number
}

/**
 * Counts a failed status request. A refused, reset or closed connection reaches the threshold at once, since the
 * process is down; any other error counts as one failure.
 *
 * @param failures - consecutive failures so far
 * @param failuresNeeded - threshold of consecutive failures
 * @param error - cause of the failure
 * @returns the new count
 */
export function countFailure (failures: number, failuresNeeded: number, error: Error): number {
  const processIsDown = error instanceof ConnectionLostError && error.lossCause !== 'other'
  return failures + (processIsDown ? failuresNeeded : 1)
}

/**
 * Decides whether a primary is unreachable.
 *
 * @param primaryFailures - failures of the primary
 * @returns whether it is unreachable
 */
export function isUnreachable ({ failures, failuresNeeded, domains }: PrimaryFailures): boolean {
  return failures >= failuresNeeded && domains >= REQUIRED_DOMAINS
}
