/** Handles the need of a group: confirms it, then records the first primary or runs a failover. */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import type { PluginContext } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupRow } from '../registry/index.ts'
import { runFailover } from './failover.ts'
import { recordFirstPrimary } from './first-primary.ts'
import { createFormerUpstreams } from './former-upstreams.ts'
import type { ObservedNeed } from './group-watch.ts'
import { isPlannedChangeDue } from './planned-change.ts'
import { PROBE_TIMEOUT_MS } from './probe-times.ts'
import { createPromotionLease } from './promotion-lease.ts'
import { createReachabilityCheck } from './reach-questions.ts'

/**
 * Time for which a host leaves a group to other hosts after its failover did not complete, in milliseconds. The cause,
 * such as a partition between this host and the upstreams, may not affect them.
 */
const FAILED_FAILOVER_PAUSE_MS = 2500

/** Pause after no upstream could succeed a draining primary, in milliseconds. */
const NO_SUCCESSOR_PAUSE_MS = 500

/**
 * Creates the handler of needs, and answers the requests of peers that belong to it.
 *
 * @param context - the services
 * @param closeLocally - stops the work of this host at the primary of an epoch
 * @param isClosed - whether this process gives no more orders, because it stops
 * @returns the handler of a group's observed need
 */
export function createNeedHandler (
  context: PluginContext, closeLocally: (group: string, epoch: number) => Promise<void>, isClosed: () => boolean
): (group: string, observed: ObservedNeed) => Promise<void> {
  const { logger } = context
  const { promotion } = context.use('ports')
  const registry = context.use('registry')
  const directory = context.use('directory')
  const pools = context.use('pools')
  const peers = context.use('peers')
  const freshness = context.use('freshness')
  const desiredState = context.use('desiredState')
  const former = createFormerUpstreams(directory)
  const settings = context.settings as EntrySettings
  const count = context.use('metrics').registerCounter('worksward_successions', 'Successions run here, by reason and outcome')
  const promotionLease = createPromotionLease({ registry, peers, logger, isClosed })
  const reachability = createReachabilityCheck({
    registry, directory, pools, homes: context.use('homes'), peers, logger
  })

  const synchronousReplicasOf = (group: string): number =>
    desiredState.current?.synchronousReplicas?.get(group) ?? 0
  /** Confirms a need that rests on indirect evidence by asking other hosts or the upstreams, and a planned change. */
  const isConfirmed = async (group: string, { need }: ObservedNeed, { primary }: GroupRow): Promise<boolean> => {
    if (need === 'unreachable') {
      return await reachability.isLost(group, primary)
    }
    if (need === 'draining') {
      const synchronousReplicas = synchronousReplicasOf(group)
      const { drainMs } = settings
      const isDue = await isPlannedChangeDue({ group, primary, synchronousReplicas, drainMs, directory, pools })
      if (!isDue) {
        await pause(NO_SUCCESSOR_PAUSE_MS)
      }
      return isDue
    }
    if (need !== 'deposed') {
      return true
    }
    const upstream = directory.get(primary)
    const report = upstream === undefined ? undefined : await pools.probe(upstream, PROBE_TIMEOUT_MS)
    return report?.role === 'replica'
  }
  return async (group, observed) => {
    const { need, since } = observed
    if (need === 'first-primary') {
      await recordFirstPrimary(group, { registry, directory, logger })
      return
    }
    const { row } = registry.current.group(group)
    if (row === undefined || row.epoch !== observed.epoch || !await isConfirmed(group, observed, row)) {
      return
    }
    const primary = await runFailover({
      group,
      reason: need,
      epoch: observed.epoch,
      closedSince: need === 'unfinished' ? since : undefined,
      knownTerm: Math.max(row.term, freshness.of(group).newest?.term ?? 0),
      promotionLease,
      closeLocally: async (epoch) => await closeLocally(group, epoch),
      registry,
      directory,
      pools,
      peers,
      synchronousReplicas: synchronousReplicasOf(group),
      former,
      promotion,
      logger
    })
    count(`${need} ${primary === undefined ? 'unfinished' : 'done'}`)
    const holdsLease = registry.current.promotionLease.row?.process === registry.self.process
    if (primary === undefined && holdsLease) {
      await promotionLease.release()
      await pause(FAILED_FAILOVER_PAUSE_MS)
    }
  }
}
