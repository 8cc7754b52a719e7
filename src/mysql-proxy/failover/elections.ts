/** Runs the elections of a group one at a time, logs their outcome and announces new primaries. */
import type { Logger } from '../../core/logger/index.ts'
import type { GroupView, Leadership } from '../upstreams/group-view.ts'
import type { ElectionPace } from './election-pace.ts'
import { electPrimary } from './election.ts'
import { holdPreVote } from './pre-vote.ts'

/** Options of {@link createElections}. */
interface ElectionsOptions {
  name: string
  view: GroupView
  logger: Logger
  pace: ElectionPace
  /** Called when the primary answers the questions before an election. */
  onPrimaryAnswer: () => void
  /** Announces a new primary to homes and other keepers. */
  announce: (leadership: Leadership) => void
}

/** Parameters of one election. */
interface ElectionRequest {
  /** Logged with the start of the election. */
  reason: string
  /** Upstream to promote when no other log is more advanced. */
  preferred?: string
  /** Whether a primary that serves is replaced, which the preferred upstream has to catch up with first. */
  planned: boolean
  /** Returns whether the election is still needed after the upstreams were asked; always if absent. */
  isNeeded?: () => boolean
}

/** Outcome of an election. */
interface ElectionOutcome {
  /** The primary that was promoted; undefined if none was. */
  primary?: string
  /** Whether upstreams may have been fenced without a promotion. */
  mayHaveFenced: boolean
  /** Description for the operator. */
  description: string
}

/** Elections of a group. */
export interface Elections {
  readonly inProgress: boolean
  /** Number of successful elections run by this keeper. */
  readonly promotions: number
  /**
   * Runs an election, unless one is in progress or can't succeed.
   *
   * @param request - the reason and the preferred upstream
   * @returns the outcome
   */
  run: (request: ElectionRequest) => Promise<ElectionOutcome>
}

/**
 * Creates the elections of a group.
 *
 * @param options - the group and the announcement callback
 * @returns the elections
 */
export function createElections (
  { name, view, logger, pace, onPrimaryAnswer, announce }: ElectionsOptions
): Elections {
  let inProgress = false
  let promotions = 0
  let loggedObstacle = ''

  /** Returns why an election must not begin now; undefined if it may. */
  const findObstacle = async ({ isNeeded }: ElectionRequest): Promise<string | undefined> => {
    const preVote = await holdPreVote(view)
    if (preVote === undefined) {
      return 'a majority of the upstreams does not answer'
    }
    if (preVote.primaryAnswers) {
      onPrimaryAnswer()
    }
    if (isNeeded?.() === false) {
      return 'the group has a primary that answers'
    }
    return pace.yieldsTo(preVote.openTerm) ? `an election for term ${preVote.openTerm} may be in progress` : undefined
  }

  /** Logs an obstacle once, since it is found again with each round of probes. */
  const logObstacle = (obstacle: string): void => {
    if (obstacle !== loggedObstacle) {
      loggedObstacle = obstacle
      logger.log('info', 'failover.withheld', { group: name, term: view.leadership.term, reason: obstacle })
    }
  }

  const elect = async (request: ElectionRequest): Promise<ElectionOutcome> => {
    const { reason, preferred, planned } = request
    const obstacle = await findObstacle(request)
    if (obstacle !== undefined) {
      logObstacle(obstacle)
      return { mayHaveFenced: false, description: obstacle }
    }
    loggedObstacle = ''
    logger.log('warn', 'failover.started', { group: name, reason, term: view.leadership.term })
    const result = await electPrimary({ view, preferred, planned, logger })
    if (result.type === 'failed') {
      const { mayHaveFenced } = result
      logger.log('warn', 'failover.failed', { group: name, term: result.term, reason: result.reason })
      if (mayHaveFenced || !planned) {
        pace.failed(mayHaveFenced ? result.term : 0)
      }
      return { mayHaveFenced, description: result.reason }
    }
    promotions++
    view.adoptLeadership(result)
    announce(result)
    return describePromotion(result, request)
  }

  const describePromotion = (
    { term, primary }: Leadership, { preferred, planned }: ElectionRequest
  ): ElectionOutcome => {
    const description = `${primary} is primary in term ${term}`
    logger.log('info', 'failover.done', { group: name, term, primary })
    if (!planned || preferred === undefined || preferred === primary) {
      return { primary, mayHaveFenced: false, description }
    }
    logger.log('warn', 'failover.not-preferred', { group: name, term, primary, upstream: preferred })
    return { primary, mayHaveFenced: false, description: `${preferred} lacks the end of the log; ${description}` }
  }

  return {
    get inProgress () { return inProgress },
    get promotions () { return promotions },
    run: async (request) => {
      if (inProgress) {
        return { mayHaveFenced: false, description: 'another change of primary is in progress' }
      }
      inProgress = true
      return await elect(request).finally(() => { inProgress = false })
    }
  }
}
