/** Watches one group: probes its upstreams, suspects its primary, and acts when that is certain enough. */
import type { Group, KeeperSettings } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { GroupView, type Leadership } from '../upstreams/group-view.ts'
import { createElections } from './elections.ts'
import { followStragglers } from './stragglers.ts'
import { createSuspicion, REQUIRED_DOMAINS, type Observation } from './suspicion.ts'

/** Options of {@link createGroupWatch}. */
export interface GroupWatchOptions {
  name: string
  group: Group
  settings: KeeperSettings
  dialer: Dialer
  logger: Logger
  /** Place of this keeper among the keepers of the group; the first acts first. */
  rank: () => number
  /** Tells the other keepers of the group what was seen. */
  spreadEvidence: (observation: Observation) => void
  /** Tells homes and keepers of a new primary. */
  announce: (leadership: Leadership) => void
}

/** A watched group. */
export interface GroupWatch {
  readonly view: GroupView
  /** Takes what somebody else has seen. */
  hear: (observation: Observation) => void
  /** Takes word of a new primary. */
  hearLeadership: (leadership: Leadership) => void
  /** Makes another primary on an operator's word; returns what came of it. */
  promote: (upstream?: string) => Promise<string>
  update: (group: Group) => void
  dump: () => unknown
  close: () => void
}

/** Rounds after which all upstreams are probed, not the primary alone. */
const FULL_ROUND = 5
/** Rounds for which a half-finished fencing is left to its maker. */
const STUCK_ROUNDS = 15
/** Greatest random addition to a wait, as a part of it. */
const JITTER = 0.5

/**
 * Starts watching a group.
 *
 * @param options - the group, and whom to tell
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { name, logger, settings } = options
  const { probeMs, timeoutMs, failures: failuresNeeded, staggerMs } = settings.watch
  const suspicion = createSuspicion()
  let group = options.group
  let failures = 0
  let round = 0
  let stuckRounds = 0
  let leadershipChanged = false
  let acting = false
  const state = { closed: false }
  let reportedTerm = -1

  const view = new GroupView({
    name,
    group,
    dialer: options.dialer,
    statusTimeoutMs: timeoutMs,
    onFailure: (upstream, error) => countFailure(upstream, error),
    onLeadership: ({ term, primary }) => {
      failures = 0
      leadershipChanged = true
      suspicion.clear()
      logger.log('info', 'failover.leadership', { group: name, term, primary })
    }
  })

  /** Counts what the primary did not answer; enough of it in a row is an observation that others are told. */
  const countFailure = (upstream: string, error: Error): void => {
    const { primary, term } = view.leadership
    if (upstream !== primary) {
      return
    }
    failures += isRefusal(error) ? failuresNeeded : 1
    if (failures >= failuresNeeded) {
      const observation = { upstream, term, failureDomain: settings.host.failureDomain }
      suspicion.observe(observation)
      options.spreadEvidence(observation)
      void actIfNeeded()
    }
  }

  const probePrimary = async (): Promise<void> => {
    const channel = view.upstreams.get(view.leadership.primary)?.channel
    await channel?.fresh().then(() => { failures = 0 }, () => {})
  }

  const probeAll = async (): Promise<void> => {
    const channels = view.replicaNames.map((replica) => view.upstreams.get(replica)!.channel)
    await Promise.allSettled(channels.map(async (channel) => await channel.fresh()))
  }

  /** Why a new primary is needed, if it is. */
  const findReason = (): string | undefined => {
    const { primary, term } = view.leadership
    if (term === 0) {
      return 'no primary was ever made'
    }
    if (view.upstreams.get(primary)?.deposed === true && stuckRounds > STUCK_ROUNDS) {
      return 'the primary was fenced and has no successor'
    }
    if (failures >= failuresNeeded && suspicion.domains(primary, term) >= REQUIRED_DOMAINS) {
      return `the primary does not answer observers in ${REQUIRED_DOMAINS} failure domains`
    }
    return undefined
  }

  const elections = createElections({ name, view, logger, staggerMs, announce: options.announce })

  /** Called after each probe, and whenever somebody else's observation comes in. */
  const actIfNeeded = async (): Promise<void> => {
    if (acting) {
      return
    }
    acting = true
    await act().finally(() => { acting = false })
  }

  const act = async (): Promise<void> => {
    const reason = findReason()
    if (reason === undefined || elections.inProgress) {
      return
    }
    const { term } = view.leadership
    if (group.duties.promotion !== 'act') {
      if (group.duties.promotion === 'observe' && reportedTerm !== term) {
        reportedTerm = term
        logger.log('warn', 'failover.would-promote', { group: name, term, reason })
      }
      return
    }
    await pause(options.rank() * staggerMs * (1 + Math.random() * JITTER))
    if (!state.closed && view.leadership.term === term && findReason() !== undefined) {
      await elections.run({ reason, planned: false })
    }
  }

  /** A primary that leaves hands over to a replica that stays. */
  const handOverIfLeaving = async (): Promise<void> => {
    const { primary } = view.leadership
    const duties = group.duties.draining === 'act' && group.duties.promotion === 'act'
    const mayAct = duties && options.rank() === 0 && !elections.inProgress
    if (!mayAct || view.usablePrimary === undefined || !view.isLeaving(primary)) {
      return
    }
    const successor = view.replicaNames.find((replica) => view.takesWork(replica))
    if (successor !== undefined) {
      await elections.run({ reason: `primary ${primary} is leaving`, preferred: successor, planned: true })
    }
  }

  /** Lets upstreams follow that do not: one that came back, or one whose keeper died half-way. */
  const repair = async (): Promise<void> => {
    const { primary, term } = view.leadership
    if (group.duties.promotion !== 'act' || term === 0 || elections.inProgress) {
      return
    }
    stuckRounds = await followStragglers(view) ? stuckRounds + 1 : 0
    if (stuckRounds > STUCK_ROUNDS && options.rank() === 0 && view.usablePrimary !== undefined) {
      stuckRounds = 0
      await elections.run({
        reason: 'an upstream was fenced by an election that did not end', preferred: primary, planned: false
      })
    }
  }

  const watch = async (): Promise<void> => {
    while (!state.closed) {
      round++
      const full = round % FULL_ROUND === 0 || leadershipChanged || view.usablePrimary === undefined
      leadershipChanged = false
      await Promise.allSettled([probePrimary(), full ? probeAll() : undefined])
      await actIfNeeded()
      if (full) {
        await repair()
        await handOverIfLeaving()
      }
      await pause(probeMs)
    }
  }
  void watch()

  return {
    view,
    hear: (observation) => {
      suspicion.observe(observation)
      void actIfNeeded()
    },
    hearLeadership: (leadership) => view.announce(leadership),
    promote: async (upstream) => {
      const target = upstream ?? view.replicaNames.find((replica) => view.takesWork(replica))
      return await elections.run({ reason: 'an operator ordered it', preferred: target, planned: true })
    },
    update: (changed) => {
      group = changed
      view.update(changed)
    },
    dump: () => ({
      view: view.dump(),
      failures,
      electing: elections.inProgress,
      promotions: elections.promotions,
      reportedTerm,
      duty: group.duties.promotion
    }),
    close: () => {
      state.closed = true
      view.close()
    }
  }
}

/** A refused connection says that the process is down; there is no need to ask again. */
function isRefusal ({ message }: Error): boolean {
  return /ECONNREFUSED|ECONNRESET|broke before the answer/.test(message)
}
