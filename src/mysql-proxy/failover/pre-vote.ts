/**
 * Asks the upstreams before an election whether it is needed and can succeed. A fence can't be undone, so an election
 * that can't fence a majority, or that competes with one in progress, must not begin.
 */
import { Deadline } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import type { UpstreamStatus } from '../upstreams/status.ts'

/** Time limit, in milliseconds; usually the timeouts of the queries end the wait earlier. */
const PRE_VOTE_TIMEOUT_MS = 2000

/** What a majority of the upstreams answered. */
export interface PreVote {
  /** Whether the known primary still leads and answers this keeper. */
  primaryAnswers: boolean
  /** Highest term for which an upstream is fenced without a known primary; 0 if there is none. */
  openTerm: number
}

/**
 * Asks all upstreams until a majority has answered.
 *
 * @param view - the group
 * @returns what they answered; undefined when a majority does not answer
 */
export async function holdPreVote (view: GroupView): Promise<PreVote | undefined> {
  const answers = await view.queryMajority(new Deadline(PRE_VOTE_TIMEOUT_MS)).catch(() => undefined)
  return answers === undefined ? undefined : readPreVote(view.leadership.term, answers.map(({ status }) => status))
}

/**
 * Reads the answers.
 *
 * @param term - term of the known primary
 * @param statuses - statuses of a majority
 * @returns what they say
 */
export function readPreVote (term: number, statuses: UpstreamStatus[]): PreVote {
  const fencedTerm = Math.max(...statuses.map((status) => status.fencedTerm))
  const isLed = statuses.some((status) => status.role === 'primary' && status.term === fencedTerm)
  return {
    primaryAnswers: statuses.some((status) =>
      status.role === 'primary' && status.term === term && status.fencedTerm <= term),
    openTerm: isLed || fencedTerm <= term ? 0 : fencedTerm
  }
}
