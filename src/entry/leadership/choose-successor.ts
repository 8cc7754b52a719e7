/**
 * Decides which upstream of a group leads next.
 *
 * - Inputs: the reports of the upstreams that answered (role, term, received position), which of them are leaving, the
 *   old primary, the newest term of the closed epoch, and for how long it has been closed (milliseconds).
 * - Rule: an upstream that leads already in a newer term stays the leader. Otherwise those that stay come before the
 *   old primary, and that before those that leave; of equals the one that has received most, then the first by name.
 *   One that has not reached the closed term is left out for {@link OUTDATED_WAIT_MS}.
 * - Why: what was written in the closed term must not be lost to a replica that missed all of it.
 */
import { comparePositions } from '../../positions/position.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamReport } from '../ports/index.ts'

/**
 * Time for which upstreams that have missed a whole term are not promoted, in milliseconds, since those that have it
 * may come back: longer than an upstream that has crashed takes to come back, up to 7 s.
 */
const OUTDATED_WAIT_MS = 10_000

/** An upstream and its report. */
export interface Candidate {
  upstream: KnownUpstream
  report: UpstreamReport
}

/**
 * Candidates that may be promoted, in the order in which that is tried.
 *
 * @param candidates - upstreams and their reports
 * @param closed - the primary and the newest term of the closed epoch, and for how long it has been closed, in
 *   milliseconds
 * @returns these, the best first
 */
export function chooseSuccessors (
  candidates: Candidate[], { oldPrimary, term, closedMs }: { oldPrimary: string, term: number, closedMs: number }
): Candidate[] {
  const mayBeOutdated = closedMs >= OUTDATED_WAIT_MS
  return rank(candidates.filter(({ report }) => mayBeOutdated || report.term >= term), oldPrimary)
}

/** Orders candidates: those that stay before those that leave, the furthest in the log first. */
function rank (candidates: Candidate[], oldPrimary: string): Candidate[] {
  const weight = ({ upstream }: Candidate): number =>
    (upstream.draining ? 2 : 0) + (upstream.upstream === oldPrimary ? 1 : 0)
  return [...candidates].sort((left, right) => weight(left) - weight(right) ||
    comparePositions(right.report.received, left.report.received) ||
    (left.upstream.upstream < right.upstream.upstream ? -1 : 1))
}

/**
 * Finds the upstream that leads already, because a promotion took effect unseen. Several may report that they lead,
 * when more than one promotion was ordered: only the one of the newest term does.
 *
 * @param candidates - upstreams and their reports
 * @param closedTerm - newest term of the epoch that was closed
 * @returns the leader; undefined when there is none
 */
export function findLeader (candidates: Candidate[], closedTerm: number): Candidate | undefined {
  return candidates
    .filter(({ report }) => report.role === 'primary' && report.term > closedTerm)
    .sort((left, right) => right.report.term - left.report.term)[0]
}
