/** Orders promotions of the candidates that `choose-successor.ts` ranks, until one leads and no other one can. */
import type { GroupRow } from '../registry/index.ts'
import type { Successors } from './await-logs.ts'
import { chooseSuccessors, findLeader, type Candidate } from './choose-successor.ts'
import type { Promoted } from './group-row.ts'
import { createLeaderWatch } from './leader-watch.ts'
import { promote, type PromoteOptions, type PromotionStage } from './order-promotion.ts'
import { createPendingOrders } from './pending-orders.ts'
import { awaitOrdersSettled } from './settle-orders.ts'

/**
 * Promotes one of the candidates, or finds that one already leads.
 *
 * @param options - the group and the services
 * @param successors - upstreams of the group that answered, and which of them may lead
 * @param closed - row of the group as this failover has closed it
 * @param closedAt - when the epoch was certainly closed, on the monotonic clock
 * @returns the new primary, or undefined if no promotion took effect
 */
export async function promoteSuccessor (
  options: PromoteOptions, { candidates, mayLead }: Successors, closed: GroupRow, closedAt: number
): Promise<Promoted | undefined> {
  const { group, registry, knownTerm, directory, pools } = options
  const closedTerm = Math.max(knownTerm, registry.current.group(group).row?.term ?? 0)
  const orders = createPendingOrders({ group, registry })
  const watch = createLeaderWatch({ directory, pools, group, orders, oldPrimary: closed.primary, closedTerm })
  const stage: PromotionStage = { ...options, failoverId: closed.succession, orders, watch }
  const promoted = await promoteBest(stage, candidates, { oldPrimary: closed.primary, closedTerm, closedAt, mayLead })
  const leader = promoted && await awaitOrdersSettled(stage, promoted)
  return leader && { ...leader, orders }
}

/** Finds the leader, or orders the candidates one after the other until one leads. */
async function promoteBest (
  stage: PromotionStage, candidates: Candidate[],
  { oldPrimary, closedTerm, closedAt, mayLead }: {
    oldPrimary: string, closedTerm: number, closedAt: number, mayLead: Successors['mayLead']
  }
): Promise<Candidate | undefined> {
  const { group, logger, orders } = stage
  const leader = findLeader(candidates.filter(({ upstream }) => upstream.upstream !== oldPrimary), closedTerm)
  if (leader !== undefined) {
    logger.log('info', 'failover.already-promoted', {
      group, upstream: leader.upstream.upstream, term: leader.report.term
    })
    return leader
  }
  const closedMs = performance.now() - closedAt
  const ordered = new Set(Object.keys(orders.remaining() ?? {}))
  const eligible = chooseSuccessors(candidates, { oldPrimary, term: closedTerm, closedMs, ordered, mayLead })
  for (const candidate of eligible) {
    const promoted = await promote(stage, candidate)
    if (promoted !== undefined) {
      return promoted
    }
  }
  logger.log('warn', 'failover.no-successor', { group, candidates: candidates.length, fit: eligible.length })
  return undefined
}
