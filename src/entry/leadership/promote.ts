/** Orders promotions in the order of `choose-successor.ts`, and waits until one has taken effect. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionPort } from '../ports/index.ts'
import type { GroupRow, Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import { chooseSuccessors, findLeader, type Candidate } from './choose-successor.ts'
import { PROBE_MS, SUCCESSOR_POLL_MS } from './probe-times.ts'
import type { PromotionLease } from './promotion-lease.ts'

/** Orders to promote an upstream when answers are lost: the first may have gone out on a dead connection. */
const ORDER_TRIES = 2
/** Time within which a promotion must take effect, in milliseconds: four times what slow upstreams take, 600 ms. */
const TAKE_EFFECT_MS = 2500

/** Options of {@link promoteOne}. */
export interface PromoteOptions {
  group: string
  /** Newest term of the group that this host knows. */
  knownTerm: number
  promotionLease: Pick<PromotionLease, 'hold' | 'recordOrder'>
  registry: Registry
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'probe'>
  promotion: PromotionPort
  logger: Logger
}

/**
 * Makes one of the candidates the primary.
 *
 * @param options - the group and everything needed
 * @param candidates - upstreams of the group and their reports
 * @param closed - the row of the group, as this failover has closed it
 * @param closedAt - when that was certain, on the steady clock
 * @returns the new primary; undefined when none could be made
 */
export async function promoteOne (
  options: PromoteOptions, candidates: Candidate[], closed: GroupRow, closedAt: number
): Promise<Candidate | undefined> {
  const { group, logger, registry, knownTerm } = options
  const oldPrimary = closed.primary
  const closedTerm = Math.max(knownTerm, registry.current.group(group).row?.term ?? 0)
  const led = findLeader(candidates.filter(({ upstream }) => upstream.upstream !== oldPrimary), closedTerm)
  if (led !== undefined) {
    logger.log('info', 'failover.already-promoted', { group, upstream: led.upstream.upstream, term: led.report.term })
    return led
  }
  const closedMs = performance.now() - closedAt
  const fit = chooseSuccessors(candidates, { oldPrimary, term: closedTerm, closedMs })
  for (const candidate of fit) {
    const promoted = await promote(options, candidate, closed.succession, closedTerm)
    if (promoted !== undefined) {
      return promoted
    }
  }
  logger.log('warn', 'failover.no-successor', { group, candidates: candidates.length, fit: fit.length })
  return undefined
}

/** What became of an order to promote. */
type OrderOutcome = 'accepted' | 'not-running' | 'not-ordered' | 'answer-lost'

/** Orders a promotion, once more when the answer is lost: the order is idempotent. */
async function promote (
  options: PromoteOptions, candidate: Candidate, failoverId: string, closedTerm: number
): Promise<Candidate | undefined> {
  const claimed = watchClaim(options, candidate, closedTerm)
  for (let tries = 1; tries <= ORDER_TRIES; tries++) {
    const outcome = await orderPromotion(options, candidate, failoverId)
    if (outcome === 'not-running' || (outcome === 'not-ordered' && tries === 1)) {
      return undefined
    }
    if (outcome !== 'answer-lost') {
      break
    }
  }
  return await awaitEffect(options, candidate.upstream, claimed)
}

async function orderPromotion (
  options: PromoteOptions, { upstream, report }: Candidate, failoverId: string
): Promise<OrderOutcome> {
  const { group, logger, promotion, registry } = options
  const held = await options.promotionLease.hold()
  const { row } = registry.current.group(group)
  if (held === undefined || !held.mayOrder() || row?.succession !== failoverId) {
    return 'not-ordered'
  }
  const name = upstream.upstream
  logger.log('info', 'failover.promoting', {
    group, upstream: name, fence: held.fence, position: formatPosition(report.received)
  })
  options.promotionLease.recordOrder()
  try {
    const outcome = await promotion.promote({ group, upstream: name, holder: registry.self.name, fence: held.fence })
    if (outcome === 'not-running') {
      logger.log('warn', 'failover.not-running', { group, upstream: name })
    }
    return outcome
  } catch (thrown) {
    // The order may have been carried out; the upstream's own report shows it.
    logger.log('warn', 'failover.answer-lost', { group, step: 'promote', reason: describeThrown(thrown) })
    return 'answer-lost'
  }
}

/**
 * Reads from the directory whether an upstream claims to be the primary, which it writes into the store at once. A
 * promoter that was cut off from the one that it had promoted saw no effect, promoted another one and left a group
 * without a primary for 18 s. Only a claim that is made after the order counts.
 */
function watchClaim (
  { directory }: PromoteOptions, { upstream, report }: Candidate, closedTerm: number
): () => Candidate | undefined {
  const claims = (): boolean => directory.get(upstream.upstream)?.claimsPrimary === true
  const claimedBefore = claims()
  // The claim carries no term; it is at least the one after the closed one.
  return () => !claimedBefore && claims()
    ? { upstream, report: { ...report, role: 'primary', term: closedTerm + 1 } }
    : undefined
}

async function awaitEffect (
  options: PromoteOptions, upstream: KnownUpstream, claimed: () => Candidate | undefined
): Promise<Candidate | undefined> {
  const until = performance.now() + TAKE_EFFECT_MS
  while (performance.now() < until) {
    const report = await options.pools.probe(upstream, PROBE_MS)
    const leader = report?.role === 'primary' ? { upstream, report } : claimed()
    if (leader !== undefined) {
      return leader
    }
    await pause(SUCCESSOR_POLL_MS)
  }
  options.logger.log('warn', 'failover.no-effect', { group: options.group, upstream: upstream.upstream })
  return undefined
}
