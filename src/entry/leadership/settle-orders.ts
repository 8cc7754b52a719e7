/**
 * Waits until no order to promote can make another upstream the primary than the one that leads. The epoch is closed
 * meanwhile, so nothing commits, and an upstream that is promoted late is found to lead in a newer term.
 */
import { pause } from '../../core/time/deadline.ts'
import type { Candidate } from './choose-successor.ts'
import { isCurrent, promote, type PromotionStage } from './order-promotion.ts'
import { PROBE_TIMEOUT_MS, SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'

const nameOf = ({ upstream }: Candidate): string => upstream.upstream

/**
 * Waits for the orders for other upstreams.
 *
 * @param stage - the failover
 * @param promoted - the upstream that leads now
 * @returns the upstream that leads in the end; undefined if that is not certain
 */
export async function awaitOrdersSettled (stage: PromotionStage, promoted: Candidate): Promise<Candidate | undefined> {
  const { group, logger, orders, watch } = stage
  const hasOthers = orders.ordered().some((name) => name !== nameOf(promoted))
  if (!hasOthers) {
    return promoted
  }
  logger.log('info', 'failover.order-pending', {
    group, upstream: nameOf(promoted), ordered: orders.ordered().join(' '), pending: orders.pendingExcept(nameOf(promoted))
  })
  let leader = promoted
  while (isCurrent(stage)) {
    // Read before the look, which then shows the effect of every order.
    const isSettled = !orders.pendingExcept(nameOf(leader))
    const seen = await watch.look(leader.upstream)
    if (isSettled && (seen.leader === undefined || nameOf(seen.leader) === nameOf(leader))) {
      const maySomeLeadUnseen = seen.silent.some((name) => name !== nameOf(leader))
      return maySomeLeadUnseen && seen.leader !== undefined ? await promoteAnew(stage, seen.leader) : seen.leader
    }
    leader = seen.leader ?? leader
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
  return undefined
}

/**
 * Promotes the leader to one more term: an order for an upstream that does not report may have taken effect after the
 * leader's own. None can any more, so the leader's next term is the newest.
 */
async function promoteAnew (stage: PromotionStage, { upstream, report }: Candidate): Promise<Candidate | undefined> {
  if (await stage.promotionLease.acquire() === undefined || !isCurrent(stage)) {
    return undefined
  }
  const demoted = await stage.pools.demote(upstream, report.term + 1, PROBE_TIMEOUT_MS)
  if (demoted?.role !== 'replica') {
    return undefined
  }
  const leader = await promote(stage, { upstream, report: demoted })
  return leader?.upstream.upstream === upstream.upstream ? leader : undefined
}
