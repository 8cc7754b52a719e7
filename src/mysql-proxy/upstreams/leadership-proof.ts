/**
 * Proves that a term has not been superseded. An election fences a majority with its term before it promotes, so while
 * a majority accepts a term, no primary of a higher one has acknowledged anything.
 */
import type { UpstreamView } from './group-view-types.ts'

/** The upstreams of a group, with their latest statuses. */
interface ProvingGroup {
  upstreams: ReadonlyMap<string, Pick<UpstreamView, 'channel'>>
  /** Number of upstreams that form a majority. */
  majority: number
}

/**
 * Returns the time before which no primary of a higher term has acknowledged a write.
 *
 * @param group - the group
 * @param term - the term
 * @returns the time on the monotonic clock, in milliseconds; -Infinity while no majority is known to accept the term
 */
export function leadershipProvenAt ({ upstreams, majority }: ProvingGroup, term: number): number {
  const acceptedAt = [...upstreams.values()].flatMap(({ channel: { latest } }) =>
    latest !== undefined && latest.status.term <= term && latest.status.fencedTerm <= term ? [latest.sentAt] : [])
  return acceptedAt.sort((left, right) => right - left)[majority - 1] ?? -Infinity
}
