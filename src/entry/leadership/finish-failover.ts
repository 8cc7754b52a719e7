/**
 * Finishes the failover of a host that has ended after its order took effect. This orders nothing, so it needs no
 * promotion lease: an order that the former host may still record and this write exclude each other by the version that
 * the row had before the look at the upstreams.
 */
import type { Directory } from '../directory/index.ts'
import { openEpoch, type RowOptions } from './group-row.ts'
import { createLeaderWatch } from './leader-watch.ts'
import { createPendingOrders } from './pending-orders.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionLease } from './promotion-lease.ts'

/** Options of {@link finishFailover}. */
interface FinishOptions extends RowOptions {
  /** Newest term of the group known to this host. */
  knownTerm: number
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe'>
  promotionLease: Pick<PromotionLease, 'seemsAbandoned'>
}

/**
 * Opens the next epoch if the holder of the promotion lease seems to have ended, an upstream that was ordered leads in
 * a newer term, and no order for another upstream may take effect or may have done so unseen. An order in the closed
 * row for another upstream than its primary shows that all hosts had stopped.
 *
 * @param options - the group and the services
 * @returns the new primary, or undefined if the failover is not finished
 */
export async function finishFailover (options: FinishOptions): Promise<string | undefined> {
  const { group, registry, logger, knownTerm, directory, pools, promotionLease } = options
  const { row, version } = registry.current.group(group)
  if (row?.state !== 'closed' || row.orders === undefined || !await promotionLease.seemsAbandoned()) {
    return undefined
  }
  const orders = createPendingOrders({ group, registry })
  const closedTerm = Math.max(knownTerm, row.term)
  const watch = createLeaderWatch({ directory, pools, group, orders, oldPrimary: row.primary, closedTerm })
  // Read before the look, which shows the effect of every order that has passed by then.
  const pending = Object.keys(orders.remaining() ?? {})
  const { leader, silent } = await watch.look()
  const name = leader?.upstream.upstream
  const isUncertain = silent.length > 0 || pending.some((upstream) => upstream !== name)
  if (leader === undefined || name === row.primary || isUncertain) {
    return undefined
  }
  logger.log('info', 'failover.already-promoted', { group, upstream: name, term: leader.report.term })
  return await openEpoch(options, { ...leader, orders }, row.succession, version)
}
