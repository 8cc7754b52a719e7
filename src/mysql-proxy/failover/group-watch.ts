/**
 * Watches one group: probes its upstreams, collects observations that its primary does not answer, and starts elections
 * and repairs. Owns the group's view in the keeper process.
 */
import type { Group, KeeperSettings } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { StallMeter } from '../../core/time/stall-meter.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { GroupView, type Leadership } from '../upstreams/group-view.ts'
import { createElectionPace } from './election-pace.ts'
import { createElections } from './elections.ts'
import { createPrimaryHealth } from './primary-health.ts'
import { createProbeLog } from './probe-log.ts'
import { createProbes } from './probes.ts'
import { promoteOnRequest } from './requested-promotion.ts'
import type { Observation } from './suspicion.ts'
import { createWatchActions } from './watch-actions.ts'

/** Options of {@link createGroupWatch}. */
interface GroupWatchOptions {
  name: string
  group: Group
  settings: KeeperSettings
  dialer: Dialer
  logger: Logger
  /** Measures the time in which this keeper does not run. */
  stalls: StallMeter
  /** Rank of this keeper among the keepers of the group; 0 acts first. */
  rank: () => number
  /** Sends a failure observation to the other keepers of the group. */
  broadcastObservation: (observation: Observation) => void
  /** Announces a new primary to homes and other keepers. */
  announce: (leadership: Leadership) => void
}

/** A watched group. */
export interface GroupWatch {
  /** Records a failure observation of another process. */
  recordObservation: (observation: Observation) => void
  /** Records a new primary announced by another process. */
  recordLeadership: (leadership: Leadership) => void
  /**
   * Changes the primary at an operator's request.
   *
   * @param upstream - the new primary; by default the replica with the most advanced log
   * @returns description of the new primary
   * @throws RequestError `InvalidCommand` when the requested upstream does not lead then
   */
  promote: (upstream?: string) => Promise<string>
  /** Applies changed declarations of the group. */
  update: (group: Group) => void
  dump: () => unknown
  close: () => void
}

/**
 * Starts watching a group.
 *
 * @param options - the group and the callbacks for observations and new primaries
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { name, dialer, logger, stalls, settings, rank, announce } = options
  const { probeMs, timeoutMs, failures: failuresNeeded, staggerMs } = settings.watch
  const health = createPrimaryHealth({ failuresNeeded, log: createProbeLog(name, logger, stalls) })
  const state = { group: options.group, closed: false }

  const view = new GroupView({
    name,
    group: options.group,
    dialer,
    statusTimeoutMs: timeoutMs,
    onFailure: (upstream, error) => recordFailure(upstream, error),
    onLeadership: ({ term, primary }) => {
      health.reset()
      pace.reset()
      probes.requestFullRound()
      logger.log('info', 'failover.leadership', { group: name, term, primary })
    }
  })
  const probes = createProbes(view, health.recordAnswer)
  const pace = createElectionPace({ firstWaitMs: staggerMs, now: () => stalls.runningMs, random: Math.random })
  const elections = createElections({ name, view, logger, pace, onPrimaryAnswer: health.recordAnswer, announce })
  const actions = createWatchActions({
    name, view, health, elections, pace, logger, staggerMs, rank, group: () => state.group, isClosed: () => state.closed
  })

  const recordFailure = (upstream: string, error: Error): void => {
    const { primary, term } = view.leadership
    if (upstream !== primary || !health.recordFailure(upstream, error)) {
      return
    }
    const observation = { upstream, term, failureDomain: settings.host.failureDomain }
    health.recordObservation(observation)
    options.broadcastObservation(observation)
    void actions.electIfNeeded()
  }

  const runProbeLoop = async (): Promise<void> => {
    while (!state.closed) {
      const isFullRound = await probes.runRound()
      await actions.electIfNeeded()
      if (isFullRound) {
        await actions.repair()
        await actions.handOverIfLeaving()
      }
      await pause(probeMs)
    }
  }
  void runProbeLoop()

  return {
    recordObservation: (observation) => {
      health.recordObservation(observation)
      void actions.electIfNeeded()
    },
    recordLeadership: (leadership) => view.adoptLeadership(leadership),
    promote: async (upstream) => await promoteOnRequest({ view, elections, upstream }),
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
