/**
 * Decides which upstreams have every acknowledged commit of a group with synchronous replicas, in which a commit is
 * acknowledged once that many replicas have received it. Draining replicas count, and so does one that does not answer.
 */
import { comparePositions, laterPosition, LOG_START, meetsFloor, type LogPosition } from '../../positions/position.ts'
import type { UpstreamReport } from '../ports/index.ts'
import type { Candidate } from './choose-successor.ts'

/** What is known of the logs of a group whose primary no host uses any more. */
export interface KnownLogs {
  /** Upstreams that answered, and their reports. */
  candidates: Candidate[]
  /** Replicas that did not answer, but may have received commits. */
  silent: string[]
  /** End of the old primary's log, if it has answered with the log that it had before. */
  oldPrimaryEnd?: LogPosition
}

/** The group whose successor is sought. */
interface SynchronousGroup {
  oldPrimary: string
  /** Replicas that must have received a commit before it is acknowledged; at least 1. */
  synchronousReplicas: number
}

/**
 * Finds the position up to which a log must reach in order to contain every acknowledged commit. An acknowledged commit
 * is missing on all replicas that answered only if as many as must have received it are silent.
 *
 * @param logs - what is known of the logs
 * @param group - the group
 * @returns the position; undefined if it is not known, because too many replicas are silent
 */
export function findAcknowledgedEnd (
  { candidates, silent, oldPrimaryEnd }: KnownLogs, { oldPrimary, synchronousReplicas }: SynchronousGroup
): LogPosition | undefined {
  if (silent.length >= synchronousReplicas) {
    return oldPrimaryEnd
  }
  return candidates
    .filter(({ upstream }) => upstream.upstream !== oldPrimary)
    .reduce((end, { report }) => laterPosition(end, report.received), LOG_START)
}

/**
 * Creates the condition that an upstream must meet in order to lead.
 *
 * @param end - position up to which acknowledged commits reach; undefined if it is not known
 * @returns the condition, which none meets if the position is not known
 */
export function hasLogUpTo (end: LogPosition | undefined): (report: UpstreamReport) => boolean {
  return ({ received }) => end !== undefined && meetsFloor(received, end)
}

/**
 * Whether an upstream that stays has the whole log that a primary had.
 *
 * @param primary - the primary's report, which must be older than the others
 * @param others - the other upstreams of the group that answered
 * @returns whether there is one
 */
export function hasSuccessorWithLog (primary: UpstreamReport, others: Candidate[]): boolean {
  return others.some(({ upstream, report }) =>
    !upstream.draining && comparePositions(report.received, primary.received) >= 0)
}
