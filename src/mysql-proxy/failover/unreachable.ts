/**
 * Rule: when does a primary count as unreachable?
 *
 * Inputs: the cause of each failed status question (one is sent each `probeMs`, and fails after `timeoutMs`, both in
 * milliseconds), the setting `failures` (questions in a row), and the failure domains that have reported the primary.
 *
 * A question that nobody answered adds one failure; a connection that was refused, reset or ended adds all that are
 * needed, since the process behind it is down and further questions would only cost time. With `failures` in a row this
 * keeper reports an observation. The primary counts as unreachable when this keeper has that many failures itself and
 * observers in {@link REQUIRED_DOMAINS} failure domains have reported it in this term: one cut link is no reason for a
 * failover.
 */
import { ConnectionLostError } from '../../mysql/connection-lost.ts'

/** Failure domains that must report a primary: the least number that a single cut link cannot reach. */
export const REQUIRED_DOMAINS = 2

/** What is known of a primary's failures. */
interface PrimaryFailures {
  /** Failed questions of this keeper in a row, as counted by {@link countFailure}. */
  failures: number
  /** Failures in a row that are needed. */
  failuresNeeded: number
  /** Failure domains with a recent observation. */
  domains: number
}

/**
 * Counts a failed status question.
 *
 * @param failures - failures in a row so far
 * @param failuresNeeded - failures in a row that make an observation
 * @param error - why the question failed
 * @returns the failures in a row with this one
 */
export function countFailure (failures: number, failuresNeeded: number, error: Error): number {
  const processIsDown = error instanceof ConnectionLostError && error.lossCause !== 'other'
  return failures + (processIsDown ? failuresNeeded : 1)
}

/**
 * Decides whether a primary counts as unreachable.
 *
 * @param known - its failures
 * @returns whether it does
 */
export function isUnreachable ({ failures, failuresNeeded, domains }: PrimaryFailures): boolean {
  return failures >= failuresNeeded && domains >= REQUIRED_DOMAINS
}
