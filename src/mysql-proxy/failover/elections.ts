/** Runs the elections of a group, one at a time; logs and announces their outcome. Owns the count of promotions. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupView, Leadership } from '../upstreams/group-view.ts'
import { electPrimary } from './election.ts'

/** Options of {@link createElections}. */
interface ElectionsOptions {
  name: string
  view: GroupView
  logger: Logger
  /** Greatest pause after an election that failed, in milliseconds; the setting `watch.staggerMs`. */
  staggerMs: number
  /** Announces a new primary to homes and keepers. */
  announce: (leadership: Leadership) => void
}

/** Why a primary is made. */
interface ElectionOrder {
  reason: string
  /** Upstream that should lead, if it can. */
  preferred?: string
  /** Whether the old primary hands over in order. */
  planned: boolean
}

/** Elections of a group. */
export interface Elections {
  readonly inProgress: boolean
  /** Primaries that were made here. */
  readonly promotions: number
  /**
   * Makes a primary, unless one is being made.
   *
   * @param order - the reason, and the preferred upstream
   * @returns the outcome, as a text for the operator
   */
  run: (order: ElectionOrder) => Promise<string>
}

/**
 * Creates the elections of a group.
 *
 * @param options - the group, and how a new primary is announced
 * @returns the elections
 */
export function createElections ({ name, view, logger, staggerMs, announce }: ElectionsOptions): Elections {
  let inProgress = false
  let promotions = 0

  const elect = async ({ reason, preferred, planned }: ElectionOrder): Promise<string> => {
    logger.log('warn', 'failover.started', { group: name, reason, term: view.leadership.term })
    const result = await electPrimary({ view, preferred, planned })
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
    run: async (order) => {
      if (inProgress) {
        return 'another change of primary is in progress'
      }
      inProgress = true
      return await elect(order).finally(() => { inProgress = false })
    }
  }
}
