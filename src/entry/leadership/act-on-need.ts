/**
 * Acts on what a group needs: confirms it, names the first primary or runs a failover, and steps back from a failover
 * that did not complete.
 */
import type { PluginContext } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { GroupRow } from '../registry/index.ts'
import { runFailover } from './failover.ts'
import { nameFirstPrimary } from './first-primary.ts'
import type { ObservedNeed } from './group-watch.ts'
import { PROBE_MS } from './probe-times.ts'
import { createPromotionLease } from './promotion-lease.ts'
import { createReachQuestions } from './reach-questions.ts'

/**
 * Time for which a host leaves a group to others after a failover of its own that did not complete, in milliseconds:
 * what stopped it, such as a cut between it and the upstreams, may not stop the next one.
 */
const STEP_BACK_MS = 2500

/**
 * Creates what acts on needs, and answers the questions of peers that belong to it.
 *
 * @param context - the services
 * @param closeHere - stops this host's work at the primary of an epoch
 * @returns acts on a need of a group
 */
export function createAction (
  context: PluginContext, closeHere: (group: string, epoch: number) => Promise<void>
): (group: string, observed: ObservedNeed) => Promise<void> {
  const { logger } = context
  const { promotion } = context.use('ports')
  const registry = context.use('registry')
  const directory = context.use('directory')
  const pools = context.use('pools')
  const peers = context.use('peers')
  const freshness = context.use('freshness')
  const count = context.use('metrics').registerCounter('worksward_successions', 'Successions run here, by reason and outcome')
  const promotionLease = createPromotionLease({ registry, peers, logger })
  const reach = createReachQuestions({ registry, directory, pools, homes: context.use('homes'), peers, logger })

  /** Checks a need that rests on indirect evidence by asking hosts or the upstream itself. */
  const isConfirmed = async (group: string, { need }: ObservedNeed, { primary }: GroupRow): Promise<boolean> => {
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
  return async (group, observed) => {
    const { need, since } = observed
    if (need === 'first-primary') {
      await nameFirstPrimary(group, { registry, directory, logger })
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
      closeHere: async (epoch) => await closeHere(group, epoch),
      registry,
      directory,
      pools,
      peers,
      promotion,
      logger
    })
    count(`${need} ${primary === undefined ? 'unfinished' : 'done'}`)
    const holdsLease = registry.current.promotionLease.row?.process === registry.self.process
    if (primary === undefined && holdsLease) {
      await promotionLease.release()
      await pause(STEP_BACK_MS)
    }
  }
}
