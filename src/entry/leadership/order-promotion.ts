/** Orders the promotion of one upstream, and waits until it takes effect. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionPort } from '../ports/index.ts'
import type { Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import type { Candidate } from './choose-successor.ts'
import type { LeaderWatch } from './leader-watch.ts'
import type { PendingOrders } from './pending-orders.ts'
import { SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'
import { ORDER_EFFECT_MS, type PromotionLease } from './promotion-lease.ts'

/** Attempts to order a promotion while answers are lost; the first may have used a dead connection. */
const MAXIMUM_ORDER_ATTEMPTS = 2
/** Timeout for a promotion to take effect, in milliseconds. */
const EFFECT_TIMEOUT_MS = 2500

/** Services of a promotion, and the group. */
export interface PromoteOptions {
  group: string
  /** Newest term of the group known to this host. */
  knownTerm: number
  promotionLease: Pick<PromotionLease, 'acquire' | 'acquireToOrder' | 'recordOrder' | 'seemsAbandoned'>
  registry: Registry
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe' | 'demote'>
  promotion: PromotionPort
  logger: Logger
}

/** The part of a failover in which upstreams are ordered to lead. */
export interface PromotionStage extends PromoteOptions {
  failoverId: string
  orders: PendingOrders
  watch: LeaderWatch
}

/** Outcome of an order to promote; `not-ordered` if the lease or the failover was lost before. */
type OrderOutcome = 'accepted' | 'not-running' | 'withheld' | 'not-ordered' | 'answer-lost'

/** Outcomes after which the upstream may become the primary. */
const MAY_TAKE_EFFECT: ReadonlySet<OrderOutcome> = new Set(['accepted', 'answer-lost'])

/**
 * Whether a failover still has the group, as far as this host knows.
 *
 * @param stage - the failover
 */
export function isCurrent ({ registry, group, failoverId }: PromotionStage): boolean {
  return registry.current.group(group).row?.succession === failoverId
}

/**
 * Orders a promotion, which is idempotent and repeated if the answer is lost, and waits until it takes effect.
 *
 * @param stage - the failover
 * @param candidate - the upstream, and its report
 * @returns the upstream that leads, which may be one that was ordered before; undefined if none does in time
 */
export async function promote (stage: PromotionStage, candidate: Candidate): Promise<Candidate | undefined> {
  const { orders, registry } = stage
  const name = candidate.upstream.upstream
  const wasPending = orders.untilMs(name) > registry.storeNowAtLeastMs()
  let untilMs = orders.untilMs(name)
  let answeredAtOnce = false
  for (let attempt = 1; attempt <= MAXIMUM_ORDER_ATTEMPTS; attempt++) {
    const outcome = await orderPromotion(stage, candidate)
    const mayTakeEffect = MAY_TAKE_EFFECT.has(outcome)
    untilMs = mayTakeEffect ? Math.max(untilMs, registry.storeNowAtMostMs() + ORDER_EFFECT_MS) : untilMs
    orders.settle(name, untilMs)
    if (outcome === 'not-running' || (!mayTakeEffect && attempt === 1)) {
      return undefined
    }
    if (outcome !== 'answer-lost') {
      answeredAtOnce = attempt === 1
      break
    }
  }
  const leader = await awaitPromotion(stage, candidate)
  // The only order for the upstream was answered and has taken effect, so nothing of it is left. A primary that was
  // superseded unseen still reports its old term until the order takes effect.
  const tookEffect = leader?.upstream.upstream === name && leader.report.term > candidate.report.term
  if (tookEffect && answeredAtOnce && !wasPending) {
    orders.settle(name, -Infinity)
  }
  return leader
}

async function orderPromotion (
  stage: PromotionStage, { upstream: { upstream }, report }: Candidate
): Promise<OrderOutcome> {
  const { group, logger, promotion, promotionLease, registry, failoverId } = stage
  const held = await promotionLease.acquireToOrder({ group, upstream, failoverId })
  const mayOrder = (): boolean => held?.mayOrder() === true && isCurrent(stage)
  if (held === undefined || !mayOrder()) {
    return 'not-ordered'
  }
  const { fence } = held
  logger.log('info', 'failover.promoting', { group, upstream, fence, position: formatPosition(report.received) })
  promotionLease.recordOrder()
  const orderedAt = performance.now()
  const logOutcome = (outcome: OrderOutcome): void => logger.log('info', 'failover.ordered', {
    group, upstream, fence, outcome, tookMs: Math.round(performance.now() - orderedAt)
  })
  try {
    const outcome = await promotion.promote({ group, upstream, holder: registry.self.name, fence }, mayOrder)
    logOutcome(outcome)
    if (outcome === 'not-running') {
      logger.log('warn', 'failover.not-running', { group, upstream })
    }
    return outcome
  } catch (thrown) {
    // The order may have succeeded, which the upstream's own report will show.
    logger.log('warn', 'failover.answer-lost', { group, step: 'promote', reason: describeThrown(thrown) })
    logOutcome('answer-lost')
    return 'answer-lost'
  }
}

async function awaitPromotion (stage: PromotionStage, { upstream }: Candidate): Promise<Candidate | undefined> {
  const until = performance.now() + EFFECT_TIMEOUT_MS
  while (performance.now() < until) {
    const { leader } = await stage.watch.look(upstream)
    if (leader !== undefined) {
      return leader
    }
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
  stage.logger.log('warn', 'failover.no-effect', { group: stage.group, upstream: upstream.upstream })
  return undefined
}
