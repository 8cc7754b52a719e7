/** Chooses who leads a group next, orders the promotion, and waits until it has taken effect. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionPort, UpstreamReport } from '../ports/index.ts'
import type { GroupRow, Registry } from '../registry/index.ts'
import { comparePositions, formatPosition } from '../../positions/position.ts'
import { ORDER_TRIES, OUTDATED_WAIT_MS, PROBE_MS, SUCCESSOR_POLL_MS, TAKE_EFFECT_MS } from './consts.ts'
import type { PromotionLease } from './promotion-lease.ts'

/** An upstream and what it said of itself. */
export interface Candidate {
  upstream: KnownUpstream
  report: UpstreamReport
}

/** Options of {@link promoteOne}. */
export interface PromoteOptions {
  group: string
  /** Newest term of the group that this host knows. */
  knownTerm: number
  duty: Pick<PromotionLease, 'hold' | 'noteOrder'>
  registry: Registry
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'probe'>
  promotion: PromotionPort
  logger: Logger
}

/** Orders candidates: those that stay before those that leave, the furthest first. */
function rank (candidates: Candidate[], oldPrimary: string): Candidate[] {
  const weight = ({ upstream }: Candidate): number =>
    (upstream.draining ? 2 : 0) + (upstream.upstream === oldPrimary ? 1 : 0)
  return [...candidates].sort((left, right) => weight(left) - weight(right) ||
    comparePositions(right.report.received, left.report.received) ||
    (left.upstream.upstream < right.upstream.upstream ? -1 : 1))
}

/**
 * Finds the upstream that leads already, because a promotion took effect that nobody saw. Several may say that they
 * lead, when more than one promotion was ordered: only the one of the newest term does.
 *
 * @param candidates - upstreams and what they said of themselves
 * @param closedTerm - newest term of the epoch that was closed
 * @returns the leader; undefined when there is none
 */
export function findLeader (candidates: Candidate[], closedTerm: number): Candidate | undefined {
  return candidates
    .filter(({ report }) => report.role === 'primary' && report.term > closedTerm)
    .sort((left, right) => right.report.term - left.report.term)[0]
}

/**
 * Makes one of the candidates the primary.
 *
 * @param options - the group and everything needed
 * @param candidates - upstreams of the group and what they said of themselves
 * @param closed - the row of the group, as this succession has closed it
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
  // Who has not heard of the closed term lacks all that was written in it; others may come back meanwhile.
  const mayBeOutdated = performance.now() - closedAt >= OUTDATED_WAIT_MS
  const fit = candidates.filter(({ report }) => mayBeOutdated || report.term >= closedTerm)
  for (const candidate of rank(fit, oldPrimary)) {
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
  options: PromoteOptions, candidate: Candidate, succession: string, closedTerm: number
): Promise<Candidate | undefined> {
  const claimed = watchClaim(options, candidate, closedTerm)
  for (let tries = 1; tries <= ORDER_TRIES; tries++) {
    const outcome = await orderPromotion(options, candidate, succession)
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
  options: PromoteOptions, { upstream, report }: Candidate, succession: string
): Promise<OrderOutcome> {
  const { group, logger, promotion, registry } = options
  const duty = await options.duty.hold()
  const { row } = registry.current.group(group)
  if (duty === undefined || !duty.mayOrder() || row?.succession !== succession) {
    return 'not-ordered'
  }
  const name = upstream.upstream
  logger.log('info', 'failover.promoting', {
    group, upstream: name, fence: duty.fence, position: formatPosition(report.received)
  })
  options.duty.noteOrder()
  try {
    const outcome = await promotion.promote({ group, upstream: name, holder: registry.self.name, fence: duty.fence })
    if (outcome === 'not-running') {
      logger.log('warn', 'failover.not-running', { group, upstream: name })
    }
    return outcome
  } catch (thrown) {
    // It may have been taken; the upstream itself will tell.
    logger.log('warn', 'failover.answer-lost', { group, step: 'promote', reason: describeThrown(thrown) })
    return 'answer-lost'
  }
}

/**
 * Tells when an upstream has taken the lead by what it writes into the store, which it does at once. A promoter that
 * was cut off from the one that it had promoted saw no effect, promoted another one and left a group without a primary
 * for 18 s. Only a claim that is made after the order counts.
 */
function watchClaim (
  { directory }: PromoteOptions, { upstream, report }: Candidate, closedTerm: number
): () => Candidate | undefined {
  const claims = (): boolean => directory.get(upstream.upstream)?.claimsPrimary === true
  const claimedBefore = claims()
  // Its term is not told; it is at least the one after the closed one.
  return () => !claimedBefore && claims()
    ? { upstream, report: { ...report, role: 'primary', term: closedTerm + 1 } }
    : undefined
}

async function awaitEffect (
  options: PromoteOptions, upstream: KnownUpstream, told: () => Candidate | undefined
): Promise<Candidate | undefined> {
  const until = performance.now() + TAKE_EFFECT_MS
  while (performance.now() < until) {
    const report = await options.pools.probe(upstream, PROBE_MS)
    const leader = report?.role === 'primary' ? { upstream, report } : told()
    if (leader !== undefined) {
      return leader
    }
    await pause(SUCCESSOR_POLL_MS)
  }
  options.logger.log('warn', 'failover.no-effect', { group: options.group, upstream: upstream.upstream })
  return undefined
}
