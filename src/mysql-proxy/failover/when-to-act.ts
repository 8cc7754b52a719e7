/**
 * Rule: when does a keeper change the primary, and how long does it wait first?
 *
 * Inputs: the leadership (term; 0 before the first primary), whether the primary is fenced without a successor, whether
 * it is unreachable (see `unreachable.ts`), the full rounds of probes for which an upstream has been fenced above the
 * term, the group's duties, the rank of this keeper among the keepers of the group (0 is the first), and `staggerMs`.
 *
 * - An election is needed when the group never had a primary, when the primary has been fenced for more than
 *   {@link STUCK_ROUNDS} rounds, or when it is unreachable. Only the duty `act` allows it; `observe` logs the reason
 *   once a term.
 * - The keeper of rank n waits n times `staggerMs`, with jitter, and looks again: usually the first keeper has finished
 *   by then. Two elections at once are safe, since each upstream accepts a term once, but cost time.
 * - Planned changes and repairs are left to the first keeper, without a wait.
 */
import type { Group } from '../../core/config/index.ts'
import { REQUIRED_DOMAINS } from './unreachable.ts'

/** Full rounds of probes for which an unfinished election is left to the keeper that began it. */
const STUCK_ROUNDS = 15
/** Greatest random addition to the wait, as a part of it. */
const JITTER = 0.5

/** What an election is decided by. */
interface PrimaryState {
  /** Term of the leadership; 0 when the group never had a primary. */
  term: number
  /** Whether the primary is fenced and no successor is known. */
  deposed: boolean
  /** Full rounds for which an upstream has been fenced above the term. */
  stuckRounds: number
  /** Whether the primary is unreachable. */
  unreachable: boolean
}

/** What a planned change is decided by. */
interface HandoverState {
  duties: Group['duties']
  /** Place of this keeper among the keepers of the group. */
  rank: number
  electing: boolean
}

/**
 * Finds out why a group needs another primary.
 *
 * @param state - the state of its primary
 * @returns the reason for the log; undefined when it needs none
 */
export function findElectionReason ({ term, deposed, stuckRounds, unreachable }: PrimaryState): string | undefined {
  if (term === 0) {
    return 'first start: the group has no primary yet'
  }
  if (deposed && isStuck(stuckRounds)) {
    return 'the primary was fenced and has no successor'
  }
  if (unreachable) {
    return `the primary does not answer observers in ${REQUIRED_DOMAINS} failure domains`
  }
  return undefined
}

/**
 * Decides whether an election was left unfinished by the keeper that began it.
 *
 * @param stuckRounds - full rounds for which an upstream has been fenced above the term
 * @returns whether it was
 */
export function isStuck (stuckRounds: number): boolean {
  return stuckRounds > STUCK_ROUNDS
}

/**
 * Computes how long a keeper waits before it runs an election.
 *
 * @param rank - place of the keeper among the keepers of the group, from 0
 * @param staggerMs - wait per place, in milliseconds
 * @param random - random number from 0 up to 1
 * @returns the wait, in milliseconds
 */
export function staggerOf (rank: number, staggerMs: number, random: number): number {
  return rank * staggerMs * (1 + random * JITTER)
}

/**
 * Decides whether this keeper may replace a primary that leaves.
 *
 * @param state - duties, rank, and whether an election is in progress
 * @returns whether it may
 */
export function mayHandOver ({ duties, rank, electing }: HandoverState): boolean {
  return duties.draining === 'act' && duties.promotion === 'act' && rank === 0 && !electing
}
