/**
 * Plug-in `leadership`: which upstream is the primary of each group, whether this host may work there, and failover to
 * another one. README.md says which module decides what; docs/PLATFORM.md says why it is safe.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Registry } from '../registry/index.ts'
import { createAction } from './act-on-need.ts'
import { createExtensions } from './extensions.ts'
import { createGroupWatch } from './group-watch.ts'
import { createPrimaryLeases, type PrimaryLeases } from './primary-leases.ts'
import { createRecoveryEstimates, type RecoveryEstimates } from './recovery-estimates.ts'
import { createLocalWorkStop } from './stop-local-work.ts'
import { createStopNotice } from './stop-notice.ts'
import { createSuspicion } from './suspicion.ts'
import { closedEpochSchema } from './types.ts'

export type { PrimaryLease } from './types.ts'

/** Service of the plug-in. */
export interface Leadership extends Pick<PrimaryLeases, 'of' | 'wait' | 'waitForPrimary'>,
  Pick<RecoveryEstimates, 'lost' | 'reached' | 'expectedMs'> {
  /** The primary as far as known, whether or not this host may work there. */
  primaryOf: (group: string) => string | undefined
  /** Reports that an upstream has been silent for long; it is probed. */
  suspect: (upstream: string) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { leadership: Leadership }
}

/** Time between two assessments of every group, in milliseconds. */
const WATCH_MS = 100

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
    const recoveryEstimates = createRecoveryEstimates()
    const localWork = createLocalWorkStop({ registry, directory, pools, primaryLeases, logger })
    const stopNotice = createStopNotice({ registry, localWork, logger })
    const closeHere = async (group: string, epoch: number): Promise<void> => {
      stopNotice.recordKnown(group, epoch)
      await localWork.close(group, epoch)
    }
    const watch = createGroupWatch({
      registry, directory, pools, homes: context.use('homes'), logger, act: createAction(context, closeHere)
    })
    const groups = (): string[] => [...desiredState.current?.connectionCaps.keys() ?? []]
    context.use('metrics').registerGauge('worksward_confirmed_age_milliseconds', 'Age of the confirmation by the store', () =>
      ({ age: Number.isFinite(registry.confirmedAgeMs()) ? registry.confirmedAgeMs() : -1 }))

    peers.handle('close-group', async (body) => {
      const { group, epoch } = closedEpochSchema.parse(body)
      logger.log('info', 'leadership.closing', { group, epoch, confirmedAgeMs: Math.round(registry.confirmedAgeMs()) })
      await closeHere(group, epoch)
      return {}
    })
    /** A host that lost its way to a primary, and now has others ask it there, hears only so that it is back. */
    const noticeReturn = (group: string): void => {
      const { row } = registry.current.group(group)
      const primary = row?.state === 'open' ? directory.get(row.primary) : undefined
      if (primary !== undefined && pools.of(primary).health.unreachableSince === undefined) {
        recoveryEstimates.reached(group)
      }
    }
    const stopWatching = repeat(WATCH_MS, async () => {
      localWork.abortExpired(groups())
      groups().forEach(watch.consider)
      groups().forEach(noticeReturn)
    }, (thrown) => logger.log('error', 'leadership.watch-failed', { reason: describeThrown(thrown) }))
    const stopExtending = createExtensions({ registry, peers, primaryLeases, logger })
    const recordRecovery = createRecoveryRecorder(registry, recoveryEstimates)
    registry.onChange(() => {
      groups().forEach(recordRecovery)
      primaryLeases.notify()
    })

    return {
      service: {
        of: primaryLeases.of,
        wait: primaryLeases.wait,
        waitForPrimary: primaryLeases.waitForPrimary,
        lost: recoveryEstimates.lost,
        reached: recoveryEstimates.reached,
        expectedMs: recoveryEstimates.expectedMs,
        primaryOf: (group) => registry.current.group(group).row?.primary,
        suspect: createSuspicion(directory, pools)
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

/** Records losses and recoveries of primaries by the rows of their groups. */
function createRecoveryRecorder (
  registry: Pick<Registry, 'current'>, estimates: RecoveryEstimates
): (group: string) => void {
  const epochs = new Map<string, number>()
  return (group) => {
    const { row } = registry.current.group(group)
    if (row?.state === 'closed') {
      estimates.lost(group)
    } else if (row !== undefined && row.epoch !== epochs.get(group)) {
      epochs.set(group, row.epoch)
      estimates.back(group)
    }
  }
}
