/** Runs the elections of a group one at a time, logs their outcome and announces new primaries. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupView, Leadership } from '../upstreams/group-view.ts'
import { electPrimary } from './election.ts'

/** Options of {@link createElections}. */
interface ElectionsOptions {
  name: string
  view: GroupView
  logger: Logger
  /** Maximum random pause after a failed election, in milliseconds; the setting `watch.staggerMs`. */
  staggerMs: number
  /** Announces a new primary to homes and other keepers. */
  announce: (leadership: Leadership) => void
}

/** Parameters of one election. */
interface ElectionRequest {
  /** Logged with the start of the election. */
  reason: string
  /** Upstream to promote when no other log is more advanced. */
  preferred?: string
  /** Whether the old primary is fenced first, so that the preferred upstream can catch up with it. */
  planned: boolean
}

/** Elections of a group. */
export interface Elections {
  readonly inProgress: boolean
  /** Number of successful elections run by this keeper. */
  readonly promotions: number
  /**
   * Runs an election, unless one is in progress.
   *
   * @param request - the reason and the preferred upstream
   * @returns description of the outcome for the operator
   */
  run: (request: ElectionRequest) => Promise<string>
}

/**
 * Creates the elections of a group.
 *
 * @param options - the group and the announcement callback
 * @returns the elections
 */
export function createElections ({ name, view, logger, staggerMs, announce }: ElectionsOptions): Elections {
  let inProgress = false
  let promotions = 0

  const elect = async ({ reason, preferred, planned }: ElectionRequest): Promise<string> => {
    logger.log('warn', 'failover.started', { group: name, reason, term: view.leadership.term })
    const result = await electPrimary({ view, preferred, planned, logger })
    if (result.type === 'failed') {
      logger.log('warn', 'failover.failed', { group: name, term: result.term, reason: result.reason })
      await pause(Math.random() * staggerMs)
      return result.reason
    }
    promotions++
    view.adoptLeadership(result)
    announce(result)
    logger.log('info', 'failover.done', { group: name, term: result.term, primary: result.primary })
    return `${result.primary} is primary in term ${result.term}`
  }
  return {
    get inProgress () { return inProgress },
    get promotions () { return promotions },
    run: async (request) => {
      if (inProgress) {
        return 'another change of primary is in progress'
      }
      inProgress = true
      return await elect(request).finally(() => { inProgress = false })
    }
  }
}
