/**
 * Rule: which upstream is promoted, and in which term?
 *
 * Inputs: the upstreams of a majority that accepted the fence, with the ends of their logs (term and position of the
 * last record), the upstream that an operator or a planned change prefers, and which upstreams are leaving.
 *
 * - The furthest log wins. Every acknowledged write is on a majority, which shares an upstream with the fenced
 *   majority, so the furthest of them has it.
 * - Among equally far ones the preferred upstream comes first, then those that stay, then those that are leaving.
 * - The term is one above every term this keeper has seen led, followed or fenced.
 * - A planned change without a wish prefers the first replica that takes work.
 */
import { comparePositions } from '../../positions/position.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { logEnd, type UpstreamStatus } from '../upstreams/status.ts'

/** An upstream that has accepted a fence, and its status after it. */
export interface Fenced {
  view: UpstreamView
  status: UpstreamStatus
}

/** Preferences between equally far upstreams. */
interface SuccessorOptions {
  preferred?: string
  isLeaving: (upstream: string) => boolean
}

/** Order of equally far upstreams: the greatest first. */
const RANKS = { leaving: 0, staying: 1, preferred: 2 }

/**
 * Chooses the upstream to promote.
 *
 * @param fenced - those that accepted the fence; a majority
 * @param options - preferences between equally far ones
 * @returns the one to promote
 */
export function chooseSuccessor (fenced: Fenced[], { preferred, isLeaving }: SuccessorOptions): Fenced {
  const rankOf = ({ view: { declaration: { name } } }: Fenced): number => {
    if (name === preferred) {
      return RANKS.preferred
    }
    return isLeaving(name) ? RANKS.leaving : RANKS.staying
  }
  return [...fenced].sort((left, right) =>
    comparePositions(logEnd(right.status), logEnd(left.status)) || rankOf(right) - rankOf(left))[0]!
}

/**
 * Finds the term of the next primary.
 *
 * @param leadershipTerm - term of the leadership in force
 * @param statuses - last statuses of the upstreams
 * @returns the term
 */
export function nextTerm (leadershipTerm: number, statuses: Array<UpstreamStatus | undefined>): number {
  const seen = statuses.flatMap((status) => status === undefined ? [] : [status.term, status.fencedTerm])
  return Math.max(leadershipTerm, ...seen) + 1
}

/**
 * Finds the replica that a planned change prefers.
 *
 * @param view - the group
 * @returns its name; undefined when no replica takes work
 */
export function preferredReplica (view: GroupView): string | undefined {
  return view.replicaNames.find((replica) => view.isAvailable(replica))
}
