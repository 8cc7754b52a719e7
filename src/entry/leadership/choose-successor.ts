/**
 * Chooses the upstream of a group to promote. Upstreams that stay rank before the old primary, and the old primary
 * before draining ones; ties go to the furthest log position, then to an upstream whose order to promote may still take
 * effect, then to the first name. An upstream that has not reached the closed term is excluded for
 * {@link OUTDATED_WAIT_MS}, because promoting it would lose the writes of that term. In a group with synchronous
 * replicas, one that may lack an acknowledged commit is excluded for good (`acknowledged-logs.ts`).
 */
import { comparePositions } from '../../positions/position.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamReport } from '../ports/index.ts'

/**
 * Time for which upstreams that have not reached the closed term are not promoted, in milliseconds. It is longer than a
 * crashed upstream takes to restart, up to 7 s, since one that has the whole term may come back.
 */
const OUTDATED_WAIT_MS = 10_000

export interface Candidate {
  upstream: KnownUpstream
  report: UpstreamReport
}

/** The closed epoch. */
interface ClosedPrimary {
  oldPrimary: string
  /** Newest term of the epoch. */
  term: number
  /** Time since it was closed, in milliseconds. */
  closedMs: number
  /** Upstreams with an order to promote that may still take effect. */
  ordered?: ReadonlySet<string>
  /** Whether an upstream that reports this may lead, because its log has what must not be lost; any may by default. */
  mayLead?: (report: UpstreamReport) => boolean
}

/**
 * Returns the candidates that may be promoted, best first.
 *
 * @param candidates - upstreams that answered, and their reports
 * @param closed - the closed epoch
 * @returns the eligible candidates in the order in which to try them
 */
export function chooseSuccessors (
  candidates: Candidate[], { oldPrimary, term, closedMs, ordered = new Set(), mayLead = () => true }: ClosedPrimary
): Candidate[] {
  const includeOutdated = closedMs >= OUTDATED_WAIT_MS
  const eligible = candidates.filter(({ report }) => (includeOutdated || report.term >= term) && mayLead(report))
  return rank(eligible, oldPrimary, ordered)
}

function rank (candidates: Candidate[], oldPrimary: string, ordered: ReadonlySet<string>): Candidate[] {
  const weight = ({ upstream }: Candidate): number =>
    (upstream.draining ? 2 : 0) + (upstream.upstream === oldPrimary ? 1 : 0)
  return [...candidates].sort((left, right) => weight(left) - weight(right) ||
    comparePositions(right.report.received, left.report.received) ||
    Number(ordered.has(right.upstream.upstream)) - Number(ordered.has(left.upstream.upstream)) ||
    (left.upstream.upstream < right.upstream.upstream ? -1 : 1))
}

/**
 * Finds an upstream that an earlier promotion has already made the primary. If several report that role after more than
 * one promotion, the one with the newest term leads.
 *
 * @param candidates - upstreams that answered, and their reports
 * @param closedTerm - newest term of the closed epoch
 * @returns the leader, or undefined if there is none
 */
export function findLeader (candidates: Candidate[], closedTerm: number): Candidate | undefined {
  return candidates
    .filter(({ report }) => report.role === 'primary' && report.term > closedTerm)
    .sort((left, right) => right.report.term - left.report.term)[0]
}
