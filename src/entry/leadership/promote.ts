/** Orders promotions of the candidates that `choose-successor.ts` ranks, until one takes effect. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionPort } from '../ports/index.ts'
import type { GroupRow, Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import { chooseSuccessors, findLeader, type Candidate } from './choose-successor.ts'
import { PROBE_TIMEOUT_MS, SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'
import type { PromotionLease } from './promotion-lease.ts'

/** Attempts to order a promotion while answers are lost; the first may have used a dead connection. */
const MAXIMUM_ORDER_ATTEMPTS = 2
/** Timeout for a promotion to take effect, in milliseconds. */
const EFFECT_TIMEOUT_MS = 2500

/** Options of {@link promoteSuccessor}. */
export interface PromoteOptions {
  group: string
  /** Newest term of the group known to this host. */
  knownTerm: number
  promotionLease: Pick<PromotionLease, 'acquire' | 'recordOrder'>
  registry: Registry
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'probe'>
  promotion: PromotionPort
  logger: Logger
}

/**
 * Promotes one of the candidates, or finds that one already leads.
 *
 * @param options - the group and the services
 * @param candidates - upstreams of the group that answered, and their reports
 * @param closed - row of the group as this failover has closed it
 * @param closedAt - when the epoch was certainly closed, on the monotonic clock
 * @returns the new primary, or undefined if no promotion took effect
 */
export async function promoteSuccessor (
  options: PromoteOptions, candidates: Candidate[], closed: GroupRow, closedAt: number
): Promise<Candidate | undefined> {
  const { group, logger, registry, knownTerm } = options
  const oldPrimary = closed.primary
  const closedTerm = Math.max(knownTerm, registry.current.group(group).row?.term ?? 0)
  const leader = findLeader(candidates.filter(({ upstream }) => upstream.upstream !== oldPrimary), closedTerm)
  if (leader !== undefined) {
    logger.log('info', 'failover.already-promoted', {
      group, upstream: leader.upstream.upstream, term: leader.report.term
    })
    return leader
  }
  const closedMs = performance.now() - closedAt
  const eligible = chooseSuccessors(candidates, { oldPrimary, term: closedTerm, closedMs })
  for (const candidate of eligible) {
    const promoted = await promote(options, candidate, closed.succession, closedTerm)
    if (promoted !== undefined) {
      return promoted
    }
  }
  logger.log('warn', 'failover.no-successor', { group, candidates: candidates.length, fit: eligible.length })
  return undefined
}

/** Outcome of an order to promote; `not-ordered` if the lease or the failover was lost before. */
type OrderOutcome = 'accepted' | 'not-running' | 'not-ordered' | 'answer-lost'

/** Orders a promotion, which is idempotent and repeated if the answer is lost, and waits until it takes effect. */
async function promote (
  options: PromoteOptions, candidate: Candidate, failoverId: string, closedTerm: number
): Promise<Candidate | undefined> {
  const findClaim = watchPrimaryClaim(options, candidate, closedTerm)
  for (let attempt = 1; attempt <= MAXIMUM_ORDER_ATTEMPTS; attempt++) {
    const outcome = await orderPromotion(options, candidate, failoverId)
    if (outcome === 'not-running' || (outcome === 'not-ordered' && attempt === 1)) {
      return undefined
    }
    if (outcome !== 'answer-lost') {
      break
    }
  }
  return await awaitPromotion(options, candidate.upstream, findClaim)
}

async function orderPromotion (
  options: PromoteOptions, { upstream, report }: Candidate, failoverId: string
): Promise<OrderOutcome> {
  const { group, logger, promotion, registry } = options
  const held = await options.promotionLease.acquire()
  const { row } = registry.current.group(group)
  if (held === undefined || !held.mayOrder() || row?.succession !== failoverId) {
    return 'not-ordered'
  }
  const name = upstream.upstream
  logger.log('info', 'failover.promoting', {
    group, upstream: name, fence: held.fence, position: formatPosition(report.received)
  })
  options.promotionLease.recordOrder()
  const orderedAt = performance.now()
  const logOutcome = (outcome: OrderOutcome): void => logger.log('info', 'failover.ordered', {
    group, upstream: name, fence: held.fence, outcome, tookMs: Math.round(performance.now() - orderedAt)
  })
  try {
    const outcome = await promotion.promote({ group, upstream: name, holder: registry.self.name, fence: held.fence })
    logOutcome(outcome)
    if (outcome === 'not-running') {
      logger.log('warn', 'failover.not-running', { group, upstream: name })
    }
    return outcome
  } catch (thrown) {
    // The order may have succeeded, which the upstream's own report will show.
    logger.log('warn', 'failover.answer-lost', { group, step: 'promote', reason: describeThrown(thrown) })
    logOutcome('answer-lost')
    return 'answer-lost'
  }
}

/**
 * Detects through the directory that an upstream claims to be the primary, so that a promoter that cannot reach the
 * upstream still sees the promotion and promotes no other one. Only a claim made after this call counts.
 */
function watchPrimaryClaim (
  { directory }: PromoteOptions, { upstream, report }: Candidate, closedTerm: number
): () => Candidate | undefined {
  const claimsPrimary = (): boolean => directory.get(upstream.upstream)?.claimsPrimary === true
  const claimedBefore = claimsPrimary()
  // The claim carries no term; the term is at least the one after the closed term.
  return () => !claimedBefore && claimsPrimary()
    ? { upstream, report: { ...report, role: 'primary', term: closedTerm + 1 } }
    : undefined
}

async function awaitPromotion (
  options: PromoteOptions, upstream: KnownUpstream, findClaim: () => Candidate | undefined
): Promise<Candidate | undefined> {
  const until = performance.now() + EFFECT_TIMEOUT_MS
  while (performance.now() < until) {
    const report = await options.pools.probe(upstream, PROBE_TIMEOUT_MS)
    const leader = report?.role === 'primary' ? { upstream, report } : findClaim()
    if (leader !== undefined) {
      return leader
    }
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
  options.logger.log('warn', 'failover.no-effect', { group: options.group, upstream: upstream.upstream })
  return undefined
}
