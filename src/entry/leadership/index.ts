/**
 * Plug-in `leadership`: determines the primary of each group, holds leases on primaries, and runs failovers. README.md
 * lists the modules; docs/PLATFORM.md explains why failovers are safe.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Registry } from '../registry/index.ts'
import { createNeedHandler } from './act-on-need.ts'
import { createExtensions } from './extensions.ts'
import { createGroupWatch } from './group-watch.ts'
import { createPrimaryLeases, type PrimaryLeases } from './primary-leases.ts'
import { createPrimaryUses, type PrimaryUses } from './primary-uses.ts'
import { createRecoveryEstimates, type RecoveryEstimates } from './recovery-estimates.ts'
import { createLocalWorkStop } from './stop-local-work.ts'
import { createStopNotice } from './stop-notice.ts'
import { createSuspectProbe } from './suspicion.ts'
import { logTransitions } from './transition-log.ts'
import { closedEpochSchema } from './types.ts'

export type { PrimaryLease } from './types.ts'

export interface Leadership extends Pick<PrimaryLeases, 'leaseOf' | 'waitForLease' | 'waitForPrimary'>,
  Pick<RecoveryEstimates, 'recordLoss' | 'recordReachable' | 'expectedRecoveryMs'> {
  /** Returns the last known primary of a group, even if this host holds no lease on it. */
  primaryOf: (group: string) => string | undefined
  /** Reports that an upstream has not answered for long, so that it is probed. */
  suspect: (upstream: string) => void
  /** Tracks a use of a primary under a lease, which is aborted when the lease ends. */
  trackUse: PrimaryUses['track']
}

declare module '../../core/kernel/index.ts' {
  interface Services { leadership: Leadership }
}

/** Interval at which every group is assessed, in milliseconds. */
const WATCH_INTERVAL_MS = 100

registerPlugin({
  name: 'leadership',
  dependencies: ['ports', 'registry', 'directory', 'pools', 'homes', 'peers', 'desiredState', 'freshness', 'metrics'],
  start: (context) => {
    const { logger } = context
    const registry = context.use('registry')
    const directory = context.use('directory')
    const pools = context.use('pools')
    const peers = context.use('peers')
    const desiredState = context.use('desiredState')
    const primaryLeases = createPrimaryLeases(registry)
    const primaryUses = createPrimaryUses({ primaryLeases, logger })
    const recoveryEstimates = createRecoveryEstimates()
    const localWork = createLocalWorkStop({ registry, directory, primaryLeases, primaryUses, logger })
    const stopNotice = createStopNotice({ registry, localWork, logger })
    const closeLocally = async (group: string, epoch: number): Promise<void> => {
      stopNotice.recordNotified(group, epoch)
      await localWork.closeEpoch(group, epoch)
    }
    let isClosed = false
    const act = createNeedHandler(context, closeLocally, () => isClosed)
    const watch = createGroupWatch({ registry, directory, pools, homes: context.use('homes'), logger, act })
    const groups = (): string[] => [...desiredState.current?.connectionCaps.keys() ?? []]
    context.use('metrics').registerGauge('worksward_confirmed_age_milliseconds', 'Age of the confirmation by the store', () =>
      ({ age: Number.isFinite(registry.confirmedAgeMs()) ? registry.confirmedAgeMs() : -1 }))

    peers.handle('close-group', async (body) => {
      const { group, epoch } = closedEpochSchema.parse(body)
      logger.log('info', 'leadership.closing', { group, epoch, confirmedAgeMs: Math.round(registry.confirmedAgeMs()) })
      await closeLocally(group, epoch)
      return {}
    })
    /**
     * Ends the expected failover once the primary is reachable again. Requests that this host sends through homes don't
     * show that.
     */
    const recordIfReachable = (group: string): void => {
      const { row } = registry.current.group(group)
      const primary = row?.state === 'open' ? directory.get(row.primary) : undefined
      if (primary !== undefined && pools.of(primary).health.unreachableSince === undefined) {
        recoveryEstimates.recordReachable(group)
      }
    }
    const stopWatching = repeat(WATCH_INTERVAL_MS, async () => {
      localWork.abortExpired()
      groups().forEach(watch.assess)
      groups().forEach(recordIfReachable)
    }, (thrown) => logger.log('error', 'leadership.watch-failed', { reason: describeThrown(thrown) }))
    const stopExtending = createExtensions({ registry, peers, primaryLeases, localWork, logger })
    logTransitions({ registry, directory, primaryLeases, groups, logger })
    const recordRowChange = createRowRecorder(registry, recoveryEstimates)
    registry.onChange(() => {
      localWork.abortPassed()
      groups().forEach(recordRowChange)
      primaryLeases.notify()
    })

    return {
      service: {
        leaseOf: primaryLeases.leaseOf,
        waitForLease: primaryLeases.waitForLease,
        waitForPrimary: primaryLeases.waitForPrimary,
        recordLoss: recoveryEstimates.recordLoss,
        recordReachable: recoveryEstimates.recordReachable,
        expectedRecoveryMs: recoveryEstimates.expectedRecoveryMs,
        primaryOf: (group) => registry.current.group(group).row?.primary,
        suspect: createSuspectProbe(directory, pools),
        trackUse: primaryUses.track
      },
      dump: () => ({
        groups: Object.fromEntries(groups().map((group) => [group, registry.current.group(group).row])),
        needs: watch.needs(),
        confirmedAgeMs: Math.round(registry.confirmedAgeMs())
      }),
      drain: localWork.stop,
      close: () => {
        isClosed = true
        stopWatching()
        stopExtending()
      }
    }
  }
})

/** Creates a function that records the loss or recovery of a group's primary according to its row. */
function createRowRecorder (
  registry: Pick<Registry, 'current'>, estimates: RecoveryEstimates
): (group: string) => void {
  const recordedEpochs = new Map<string, number>()
  return (group) => {
    const { row } = registry.current.group(group)
    if (row?.state === 'closed') {
      estimates.recordLoss(group)
    } else if (row !== undefined && row.epoch !== recordedEpochs.get(group)) {
      recordedEpochs.set(group, row.epoch)
      estimates.recordRecovery(group)
    }
  }
}
