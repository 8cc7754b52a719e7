/**
 * Plug-in `leadership`: which upstream is the primary of each group, whether this host may work there, and the making
 * of another primary. See docs/PLATFORM.md for why it is safe.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { GroupRow } from '../registry/index.ts'
import { PROBE_MS, STEP_BACK_MS, SUSPECT_MS, WATCH_MS } from './consts.ts'
import { createPromotionLease } from './promotion-lease.ts'
import { createExtensions } from './extensions.ts'
import { createRecoveryEstimates, type RecoveryEstimates } from './recovery-estimates.ts'
import { nameFirstPrimary } from './first-primary.ts'
import { createLocalWorkStop } from './stop-local-work.ts'
import { createReachQuestions } from './reach-questions.ts'
import { createPrimaryLeases, type PrimaryLeases } from './primary-leases.ts'
import { createStopNotice } from './stop-notice.ts'
import { runFailover } from './failover.ts'
import { closedEpochSchema } from './types.ts'
import { createGroupWatch, type StandingNeed } from './group-watch.ts'

export type { PrimaryLease } from './types.ts'

/** Service of the plug-in. */
export interface Leadership extends Pick<PrimaryLeases, 'of' | 'wait' | 'waitForPrimary'>,
  Pick<RecoveryEstimates, 'lost' | 'reached' | 'expectedMs'> {
  /** The primary as far as known, whether or not this host may work there. */
  primaryOf: (group: string) => string | undefined
  /** An upstream has been silent for long; it is asked whether it is there. */
  suspect: (upstream: string) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { leadership: Leadership }
}

registerPlugin({
  name: 'leadership',
  needs: ['ports', 'registry', 'directory', 'pools', 'homes', 'peers', 'desiredState', 'freshness', 'metrics'],
  start: (context) => {
    const { logger } = context
    const registry = context.use('registry')
    const directory = context.use('directory')
    const pools = context.use('pools')
    const peers = context.use('peers')
    const desiredState = context.use('desiredState')
    const rights = createPrimaryLeases(registry)
    const outlook = createRecoveryEstimates()
    const epochs = new Map<string, number>()
    const closing = createLocalWorkStop({ registry, directory, pools, rights, logger })
    const stopNotice = createStopNotice({ registry, closing, logger })
    const closeHere = async (group: string, epoch: number): Promise<void> => {
      stopNotice.known(group, epoch)
      await closing.close(group, epoch)
    }
    const watch = createGroupWatch({
      registry, directory, pools, homes: context.use('homes'), logger, act: createAction(context, closeHere)
    })
    const groups = (): string[] => [...desiredState.current?.connectionCaps.keys() ?? []]
    context.use('metrics').expose('worksward_confirmed_age_milliseconds', 'Age of the confirmation by the store', () =>
      ({ age: Number.isFinite(registry.confirmedAgeMs()) ? registry.confirmedAgeMs() : -1 }))

    peers.handle('close-group', async (body) => {
      const { group, epoch } = closedEpochSchema.parse(body)
      logger.log('info', 'leadership.closing', { group, epoch, confirmedAgeMs: Math.round(registry.confirmedAgeMs()) })
      await closeHere(group, epoch)
      return {}
    })
    const stopWatching = repeat(WATCH_MS, async () => {
      closing.lookAtLapse(groups())
      groups().forEach(watch.consider)
    }, (thrown) => logger.log('error', 'leadership.watch-failed', { reason: describeThrown(thrown) }))
    const stopExtending = createExtensions({ registry, peers, rights, logger })
    const noteGroup = (group: string): void => {
      const { row } = registry.current.group(group)
      if (row?.state === 'closed') {
        outlook.lost(group)
      } else if (row !== undefined && row.epoch !== epochs.get(group)) {
        epochs.set(group, row.epoch)
        outlook.back(group)
      }
    }
    registry.onChange(() => {
      groups().forEach(noteGroup)
      rights.notify()
    })

    return {
      service: {
        of: rights.of,
        wait: rights.wait,
        waitForPrimary: rights.waitForPrimary,
        lost: outlook.lost,
        reached: outlook.reached,
        expectedMs: outlook.expectedMs,
        primaryOf: (group) => registry.current.group(group).row?.primary,
        suspect: createSuspicion(context)
      },
      dump: () => ({
        groups: Object.fromEntries(groups().map((group) => [group, registry.current.group(group).row])),
        needs: watch.needs(),
        confirmedAgeMs: Math.round(registry.confirmedAgeMs())
      }),
      close: () => {
        stopWatching()
        stopExtending()
      }
    }
  }
})

/** Asks silent upstreams whether they are there, each no more often than every {@link SUSPECT_MS}. */
function createSuspicion (context: PluginContext): Leadership['suspect'] {
  const directory = context.use('directory')
  const pools = context.use('pools')
  const suspected = new Set<string>()
  return (name) => {
    const upstream = directory.get(name)
    if (upstream === undefined || suspected.has(name)) {
      return
    }
    suspected.add(name)
    void Promise.all([pools.probe(upstream, PROBE_MS), pause(SUSPECT_MS)]).finally(() => suspected.delete(name))
  }
}

/** Does what a group needs: names its first primary, or replaces the one that it has. */
function createAction (
  context: PluginContext, closeHere: (group: string, epoch: number) => Promise<void>
): (group: string, standing: StandingNeed) => Promise<void> {
  const { logger } = context
  const { promotion } = context.use('ports')
  const registry = context.use('registry')
  const directory = context.use('directory')
  const pools = context.use('pools')
  const peers = context.use('peers')
  const freshness = context.use('freshness')
  const count = context.use('metrics').count('worksward_successions', 'Successions run here, by reason and outcome')
  const duty = createPromotionLease({ registry, peers, logger })
  const reach = createReachQuestions({ registry, directory, pools, homes: context.use('homes'), peers, logger })

  /** Whether a need that only rests on what was heard holds when looked at. */
  const isConfirmed = async (group: string, { need }: StandingNeed, { primary }: GroupRow): Promise<boolean> => {
    if (need === 'unreachable') {
      return await reach.isLost(group, primary)
    }
    if (need !== 'deposed') {
      return true
    }
    const upstream = directory.get(primary)
    const report = upstream === undefined ? undefined : await pools.probe(upstream, PROBE_MS)
    return report?.role === 'replica'
  }
  return async (group, standing) => {
    const { need, since } = standing
    if (need === 'first-primary') {
      await nameFirstPrimary(group, { registry, directory, logger })
      return
    }
    const { row } = registry.current.group(group)
    if (row === undefined || row.epoch !== standing.epoch || !await isConfirmed(group, standing, row)) {
      return
    }
    const primary = await runFailover({
      group,
      reason: need,
      epoch: standing.epoch,
      closedSince: need === 'unfinished' ? since : undefined,
      knownTerm: Math.max(row.term, freshness.of(group).newest?.term ?? 0),
      duty,
      closeHere: async (epoch) => await closeHere(group, epoch),
      registry,
      directory,
      pools,
      peers,
      promotion,
      logger
    })
    count(`${need} ${primary === undefined ? 'unfinished' : 'done'}`)
    const isMine = registry.current.promotionLease.row?.process === registry.self.process
    if (primary === undefined && isMine) {
      await duty.release()
      await pause(STEP_BACK_MS)
    }
  }
}
