/**
 * Decides when a keeper changes the primary of a group. Keepers of higher rank delay their elections, so that usually
 * only the first keeper runs one. Concurrent elections are safe, since each upstream accepts a term only once, but slow
 * the failover down.
 */
import type { Group } from '../../core/config/index.ts'
import { REQUIRED_DOMAINS } from './unreachable.ts'

/** Full rounds of probes after which an unfinished election counts as stalled. */
const STALLED_ROUNDS = 15
/** Maximum random increase of the delay, as a fraction of it. */
const MAXIMUM_JITTER = 0.5

/** State of a primary that decides whether an election is needed. */
interface PrimaryState {
  /** Term of the primary; 0 before the first primary of the group. */
  term: number
  /** Whether the primary is fenced and has no known successor. */
  deposed: boolean
  /** Whether an election of this keeper failed after it had fenced an upstream. */
  unfinished?: boolean
  /** Consecutive full rounds in which an upstream was fenced with a higher term. */
  stalledRounds: number
  unreachable: boolean
}

/** State that decides whether a keeper may replace a leaving primary. */
interface HandoverState {
  duties: Group['duties']
  /** Rank of this keeper among the keepers of the group, from 0. */
  rank: number
  /** Whether an election is in progress. */
  electing: boolean
}

/**
 * Decides whether a group needs an election.
 *
 * @param state - state of the primary
 * @returns the reason for the log; undefined when no election is needed
 */
export function findElectionReason (
  { term, deposed, unfinished = false, stalledRounds, unreachable }: PrimaryState
): string | undefined {
  if (term === 0) {
    return 'first start: the group has no primary yet'
  }
  if (deposed && (unfinished || isElectionStalled(stalledRounds))) {
    return 'the primary was fenced and has no successor'
  }
  if (unreachable) {
    return `the primary does not answer observers in ${REQUIRED_DOMAINS} failure domains`
  }
  return undefined
}

/**
 * Decides whether an election was abandoned by the keeper that started it.
 *
 * @param stalledRounds - consecutive full rounds in which an upstream was fenced with a higher term
 * @returns whether the limit of {@link STALLED_ROUNDS} is exceeded
 */
export function isElectionStalled (stalledRounds: number): boolean {
  return stalledRounds > STALLED_ROUNDS
}

/**
 * Computes the delay before an election.
 *
 * @param rank - rank of the keeper among the keepers of the group, from 0
 * @param staggerMs - delay per rank, in milliseconds
 * @param random - random number in [0, 1)
 * @returns the delay, in milliseconds
 */
export function computeElectionDelay (rank: number, staggerMs: number, random: number): number {
  return rank * staggerMs * (1 + random * MAXIMUM_JITTER)
}

/**
 * Decides whether this keeper may replace a leaving primary. Only the keeper of rank 0 may, and only when the group
 * delegates both draining and promotion.
 *
 * @param state - duties, rank, and whether an election is in progress
 * @returns whether it may
 */
export function mayHandOver ({ duties, rank, electing }: HandoverState): boolean {
  return duties.draining === 'act' && duties.promotion === 'act' && rank === 0 && !electing
}
