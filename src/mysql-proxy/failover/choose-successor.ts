/**
 * Chooses the upstream to promote and its term. The fenced upstream with the most advanced log is promoted: an
 * acknowledged write is on a majority, and any two majorities share an upstream. Ties go to the preferred upstream,
 * then to upstreams that are not leaving.
 */
import { comparePositions } from '../../positions/position.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { logEnd, type UpstreamStatus } from '../upstreams/status.ts'

/** An upstream that accepted a fence, with its status after the fence. */
export interface FencedUpstream {
  view: UpstreamView
  status: UpstreamStatus
}

/** Tie-breaking preferences between upstreams whose logs end at the same position. */
interface SuccessorOptions {
  preferred?: string
  isLeaving: (upstream: string) => boolean
}

/** Ranks of upstreams whose logs end at the same position; the highest is promoted. */
const TIE_BREAK_RANKS = { leaving: 0, staying: 1, preferred: 2 }

/**
 * Chooses the upstream to promote.
 *
 * @param fenced - upstreams that accepted the fence; at least a majority
 * @param options - tie-breaking preferences
 * @returns the upstream with the most advanced log
 */
export function chooseSuccessor (fenced: FencedUpstream[], { preferred, isLeaving }: SuccessorOptions): FencedUpstream {
  const rankOf = ({ view: { declaration: { name } } }: FencedUpstream): number => {
    if (name === preferred) {
      return TIE_BREAK_RANKS.preferred
    }
    return isLeaving(name) ? TIE_BREAK_RANKS.leaving : TIE_BREAK_RANKS.staying
  }
  return [...fenced].sort((left, right) =>
    comparePositions(logEnd(right.status), logEnd(left.status)) || rankOf(right) - rankOf(left))[0]!
}

/**
 * Computes the term of the next primary.
 *
 * @param leadershipTerm - term of the current primary
 * @param statuses - last known statuses of the upstreams
 * @returns one more than the highest term that any upstream has led, followed or been fenced with
 */
export function nextTerm (leadershipTerm: number, statuses: Array<UpstreamStatus | undefined>): number {
  const knownTerms = statuses.flatMap((status) => status === undefined ? [] : [status.term, status.fencedTerm])
  return Math.max(leadershipTerm, ...knownTerms) + 1
}

/**
 * Finds the default successor for a planned change of primary.
 *
 * @param view - the group
 * @returns name of the replica with the most advanced log among those that accept work; undefined when there is none
 */
export function preferredReplica (view: GroupView): string | undefined {
  return view.replicaNames.filter((replica) => view.isAvailable(replica))
    .sort((left, right) => comparePositions(view.lastKnownLogEnd(right), view.lastKnownLogEnd(left)))[0]
}
