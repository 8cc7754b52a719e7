/**
 * Watches one group: probes its upstreams, records what this keeper and others observe of its primary, and acts after
 * each round. Owns the group's view in this process; relies on `probes.ts`, `primary-health.ts`, `watch-actions.ts` and
 * `elections.ts`.
 */
import type { Group, KeeperSettings } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { GroupView, type Leadership } from '../upstreams/group-view.ts'
import { preferredReplica } from './choose-successor.ts'
import { createElections } from './elections.ts'
import { createPrimaryHealth } from './primary-health.ts'
import { createProbes } from './probes.ts'
import type { Observation } from './suspicion.ts'
import { createWatchActions } from './watch-actions.ts'

/** Options of {@link createGroupWatch}. */
interface GroupWatchOptions {
  name: string
  group: Group
  settings: KeeperSettings
  dialer: Dialer
  logger: Logger
  /** Place of this keeper among the keepers of the group, from 0; the first acts first. */
  rank: () => number
  /** Sends an observation to the other keepers of the group. */
  spreadEvidence: (observation: Observation) => void
  /** Announces a new primary to homes and keepers. */
  announce: (leadership: Leadership) => void
}

/** A watched group. */
export interface GroupWatch {
  /** Records the observation of another process. */
  hear: (observation: Observation) => void
  /** Records a new primary that another process announced. */
  hearLeadership: (leadership: Leadership) => void
  /**
   * Changes the primary at an operator's request.
   *
   * @param upstream - the wanted primary; a replica that takes work when absent
   * @returns the outcome, as a text for the operator
   */
  promote: (upstream?: string) => Promise<string>
  /** Replaces the declarations. */
  update: (group: Group) => void
  dump: () => unknown
  close: () => void
}

/**
 * Starts watching a group.
 *
 * @param options - the group, and how observations and new primaries are sent on
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { name, dialer, logger, settings, rank, announce } = options
  const { probeMs, timeoutMs, failures: failuresNeeded, staggerMs } = settings.watch
  const health = createPrimaryHealth(failuresNeeded)
  const state = { group: options.group, closed: false }

  const view = new GroupView({
    name,
    group: options.group,
    dialer,
    statusTimeoutMs: timeoutMs,
    onFailure: (upstream, error) => recordFailure(upstream, error),
    onLeadership: ({ term, primary }) => {
      health.reset()
      probes.requestFullRound()
      logger.log('info', 'failover.leadership', { group: name, term, primary })
    }
  })
  const probes = createProbes(view, health.answered)
  const elections = createElections({ name, view, logger, staggerMs, announce })
  const actions = createWatchActions({
    name, view, health, elections, logger, staggerMs, rank, group: () => state.group, isClosed: () => state.closed
  })

  const recordFailure = (upstream: string, error: Error): void => {
    const { primary, term } = view.leadership
    if (upstream !== primary || !health.failed(error)) {
      return
    }
    const observation = { upstream, term, failureDomain: settings.host.failureDomain }
    health.observe(observation)
    options.spreadEvidence(observation)
    void actions.electIfNeeded()
  }

  const watch = async (): Promise<void> => {
    while (!state.closed) {
      const full = await probes.runRound()
      await actions.electIfNeeded()
      if (full) {
        await actions.repair()
        await actions.handOverIfLeaving()
      }
      await pause(probeMs)
    }
  }
  void watch()

  return {
    hear: (observation) => {
      health.observe(observation)
      void actions.electIfNeeded()
    },
    hearLeadership: (leadership) => view.adoptLeadership(leadership),
    promote: async (upstream) => await elections.run({
      reason: 'an operator ordered it', preferred: upstream ?? preferredReplica(view), planned: true
    }),
    update: (group) => {
      state.group = group
      view.update(group)
    },
    dump: () => ({
      view: view.dump(),
      failures: health.failures,
      electing: elections.inProgress,
      promotions: elections.promotions,
      reportedTerm: actions.reportedTerm,
      duty: state.group.duties.promotion
    }),
    close: () => {
      state.closed = true
      view.close()
    }
  }
}
