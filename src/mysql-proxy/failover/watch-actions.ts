/**
 * Actions of a keeper after a round of probes: replaces a primary that is unreachable or leaving, and repoints replicas
 * that do not follow the primary.
 */
import type { Group } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { preferredReplica } from './choose-successor.ts'
import type { ElectionPace } from './election-pace.ts'
import type { Elections } from './elections.ts'
import type { PrimaryHealth } from './primary-health.ts'
import { repointReplicas } from './repoint-replicas.ts'
import { computeElectionDelay, findElectionReason, isElectionStalled, mayHandOver } from './when-to-act.ts'

/** Options of {@link createWatchActions}. */
interface WatchActionsOptions {
  name: string
  view: GroupView
  health: PrimaryHealth
  elections: Elections
  pace: ElectionPace
  logger: Logger
  /** Election delay per rank, in milliseconds. */
  staggerMs: number
  /** Rank of this keeper among the keepers of the group, from 0. */
  rank: () => number
  /** Current declarations of the group. */
  group: () => Group
  isClosed: () => boolean
}

/** Actions of a keeper for one group. */
interface WatchActions {
  /** Last term for which the duty `observe` logged a promotion; -1 before the first. */
  readonly reportedTerm: number
  /** Runs an election if one is needed. */
  electIfNeeded: () => Promise<void>
  /** Repoints replicas, and reruns an election that another keeper did not finish. */
  repair: () => Promise<void>
  /** Replaces a leaving primary by a replica that accepts work. */
  handOverIfLeaving: () => Promise<void>
}

/**
 * Creates the actions for one group.
 *
 * @param options - the group, its health and its elections
 * @returns the actions
 */
export function createWatchActions (options: WatchActionsOptions): WatchActions {
  const { name, view, health, elections, pace, logger, staggerMs, rank, group } = options
  let stalledRounds = 0
  let isElecting = false
  let reportedTerm = -1

  const findReason = (): string | undefined => {
    const { primary, term } = view.leadership
    const deposed = view.upstreams.get(primary)?.deposed === true
    const unfinished = pace.unfinishedTerm > term
    return findElectionReason({
      term, deposed, unfinished, stalledRounds, unreachable: health.isUnreachable(primary, term)
    })
  }

  const logOncePerTerm = (term: number, reason: string): void => {
    if (group().duties.promotion === 'observe' && reportedTerm !== term) {
      reportedTerm = term
      logger.log('warn', 'failover.would-promote', { group: name, term, reason })
    }
  }

  const elect = async (): Promise<void> => {
    const reason = findReason()
    if (reason === undefined || elections.inProgress || !pace.isRested) {
      return
    }
    const { term } = view.leadership
    if (group().duties.promotion !== 'act') {
      logOncePerTerm(term, reason)
      return
    }
    await pause(computeElectionDelay(rank(), staggerMs, Math.random()))
    const isNeeded = (): boolean =>
      !options.isClosed() && view.leadership.term === term && findReason() !== undefined
    if (isNeeded()) {
      await elections.run({ reason, planned: false, isNeeded })
    }
  }

  return {
    get reportedTerm () { return reportedTerm },
    electIfNeeded: async () => {
      if (isElecting) {
        return
      }
      isElecting = true
      await elect().finally(() => { isElecting = false })
    },
    repair: async () => {
      const { primary, term } = view.leadership
      if (group().duties.promotion !== 'act' || term === 0 || elections.inProgress) {
        return
      }
      stalledRounds = await repointReplicas(view) ? stalledRounds + 1 : 0
      if (isElectionStalled(stalledRounds) && rank() === 0 && view.usablePrimary !== undefined) {
        stalledRounds = 0
        await elections.run({
          reason: 'an upstream is fenced by an unfinished election', preferred: primary, planned: false
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
