/**
 * What a keeper does for one group after a round of probes: it replaces a primary that is unreachable or leaves, and
 * repairs upstreams that do not follow. `when-to-act.ts` and `choose-successor.ts` have the rules.
 */
import type { Group } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { preferredReplica } from './choose-successor.ts'
import type { Elections } from './elections.ts'
import type { PrimaryHealth } from './primary-health.ts'
import { followStragglers } from './stragglers.ts'
import { findElectionReason, isStuck, mayHandOver, staggerOf } from './when-to-act.ts'

/** Options of {@link createWatchActions}. */
interface WatchActionsOptions {
  name: string
  view: GroupView
  health: PrimaryHealth
  elections: Elections
  logger: Logger
  /** Wait per place among the keepers, in milliseconds. */
  staggerMs: number
  /** Place of this keeper among the keepers of the group, from 0. */
  rank: () => number
  /** The declarations in force. */
  group: () => Group
  isClosed: () => boolean
}

/** Actions of a keeper for one group. */
interface WatchActions {
  /** Term in which the duty `observe` logged a promotion last; -1 when it never did. */
  readonly reportedTerm: number
  /** Runs an election if one is needed; called after each round of probes and after each observation of others. */
  electIfNeeded: () => Promise<void>
  /** Lets stragglers follow, and finishes an election that its keeper left. */
  repair: () => Promise<void>
  /** Replaces a primary that leaves by a replica that stays. */
  handOverIfLeaving: () => Promise<void>
}

/**
 * Creates the actions for one group.
 *
 * @param options - the group, its state, and the elections
 * @returns the actions
 */
export function createWatchActions (options: WatchActionsOptions): WatchActions {
  const { name, view, health, elections, logger, staggerMs, rank, group } = options
  let stuckRounds = 0
  let acting = false
  let reportedTerm = -1

  const findReason = (): string | undefined => {
    const { primary, term } = view.leadership
    const deposed = view.upstreams.get(primary)?.deposed === true
    return findElectionReason({ term, deposed, stuckRounds, unreachable: health.isUnreachable(primary, term) })
  }

  const reportOnce = (term: number, reason: string): void => {
    if (group().duties.promotion === 'observe' && reportedTerm !== term) {
      reportedTerm = term
      logger.log('warn', 'failover.would-promote', { group: name, term, reason })
    }
  }

  const elect = async (): Promise<void> => {
    const reason = findReason()
    if (reason === undefined || elections.inProgress) {
      return
    }
    const { term } = view.leadership
    if (group().duties.promotion !== 'act') {
      reportOnce(term, reason)
      return
    }
    await pause(staggerOf(rank(), staggerMs, Math.random()))
    if (!options.isClosed() && view.leadership.term === term && findReason() !== undefined) {
      await elections.run({ reason, planned: false })
    }
  }

  return {
    get reportedTerm () { return reportedTerm },
    electIfNeeded: async () => {
      if (acting) {
        return
      }
      acting = true
      await elect().finally(() => { acting = false })
    },
    repair: async () => {
      const { primary, term } = view.leadership
      if (group().duties.promotion !== 'act' || term === 0 || elections.inProgress) {
        return
      }
      stuckRounds = await followStragglers(view) ? stuckRounds + 1 : 0
      if (isStuck(stuckRounds) && rank() === 0 && view.usablePrimary !== undefined) {
        stuckRounds = 0
        await elections.run({
          reason: 'an upstream was fenced by an election that did not end', preferred: primary, planned: false
        })
      }
    },
    handOverIfLeaving: async () => {
      const { primary } = view.leadership
      const mayAct = mayHandOver({ duties: group().duties, rank: rank(), electing: elections.inProgress })
      if (!mayAct || view.usablePrimary === undefined || !view.isDraining(primary)) {
        return
      }
      const successor = preferredReplica(view)
      if (successor !== undefined) {
        await elections.run({ reason: `primary ${primary} is leaving`, preferred: successor, planned: true })
      }
    }
  }
}
