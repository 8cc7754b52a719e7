/**
 * Chooses the upstream for a read: the one with the lowest cost among those of the group that were not tried yet and
 * are not draining. The cost is the expected duration in milliseconds plus penalties. The first of equals is taken.
 */
import { scoreOf } from '../../placement/upstream-homes.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { comparePositions, type LogPosition } from '../../positions/position.ts'
import { queueRequestOf } from './acquire-connection.ts'
import { chooseHome } from './choose-home.ts'
import type { ChosenUpstream, EntryContext, RequestScope } from './types.ts'
import { acceptsNewWork } from './wait-rules.ts'

/** Penalty for an upstream in another failure domain, in milliseconds; covers latency and the price of the traffic. */
const CROSS_DOMAIN_COST_MS = 25
/**
 * Penalty for the primary, in milliseconds, which keeps its slots free for writes. Must be less than
 * {@link CROSS_DOMAIN_COST_MS}, or reads in the primary's failure domain would go to replicas of other domains.
 */
const PRIMARY_COST_MS = 12
/**
 * Further penalty for a primary at whose home statements wait, in milliseconds. With it a replica of another failure
 * domain is cheaper, so reads leave the slots to the writes and reads that only the primary can serve.
 */
const PRIMARY_QUEUE_COST_MS = CROSS_DOMAIN_COST_MS
/** Penalty for waiting until a connection is opened or becomes free, in milliseconds. */
const CONNECTION_WAIT_COST_MS = 25
/** Penalty if this host has no connection and may not open one, in milliseconds; the wait may take seconds. */
const FIRST_CONNECTION_COST_MS = 400
/**
 * Penalty for a replica that lagged recently and is not known to have reached the required position, in milliseconds.
 * Exceeds the wait at a busy primary, which the read would need after a failed attempt at the replica.
 */
const LAGGING_COST_MS = 400
/**
 * Bonus of the replica that the organisation of a read prefers, in milliseconds. Connections serve one organisation
 * each, so its reads are concentrated where that saves opening one, which takes 12 ms of a slot and a network round
 * trip. Less than {@link CROSS_DOMAIN_COST_MS}: a connection lasts for many reads, and each read would cross domains.
 */
const PREFERRED_BONUS_MS = 20
/**
 * Reduction of the bonus for each millisecond by which the preferred replica is slower than the fastest upstream of the
 * group. A smaller one kept reads at replicas with a queue: at 2.5 times the load of the test, 109 attempts for 9501
 * requests were refused with 1, and 43 for 9413 requests with 2.
 */
const BONUS_LOSS = 2
/** Penalty for an upstream that failed recently, in milliseconds; higher than any other cost. */
const AVOIDED_COST_MS = 5000

/**
 * Penalty for an upstream that is an outlier among its siblings, in milliseconds. Lower than that of one that failed:
 * it serves most of its reads, and is the last choice before those that can't be reached.
 */
const OUTLIER_COST_MS = 1000

/** Services needed to compare upstreams. */
type ChoiceContext = Pick<EntryContext, 'directory' | 'pools' | 'homes' | 'leadership' | 'failureDomain' | 'drainMs'>

/** An upstream for a read. Without a home the read runs on a connection of this host. */
export interface ReadChoice extends ChosenUpstream {
  home?: KnownHost
}

/**
 * Chooses the upstream for a read.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param position - log position that the read requires
 * @param triedUpstreams - upstreams to leave out
 * @returns the upstream and its home, if any; undefined if no upstream is left
 */
export function chooseReadUpstream (
  context: ChoiceContext, scope: RequestScope, position: LogPosition, triedUpstreams: ReadonlySet<string>
): ReadChoice | undefined {
  const { group, organisation, triedHomes } = scope
  const primary = context.leadership.primaryOf(group)
  const upstreams = context.directory.ofGroup(group)
  const outliers = context.pools.outliersOf(group, upstreams)
  const preferred = preferredReplica(upstreams, organisation, primary)
  let best: ReadChoice | undefined
  let leastCost = Infinity
  for (const target of upstreams) {
    if (
      triedUpstreams.has(target.upstream) || target.draining ||
      !acceptsNewWork(target, context.drainMs, performance.now())
    ) {
      continue
    }
    const resources = context.pools.of(target)
    const home = chooseHome(context, target, { triedHomes, organisation })
    const cost = readCostMs(
      createCandidate(context, scope, { target, resources, home }, position, target.upstream === primary)
    ) + (outliers.has(target.upstream) ? OUTLIER_COST_MS : 0) -
      (target.upstream === preferred ? bonusMs(context, upstreams, resources) : 0)
    if (cost < leastCost) {
      best = { target, resources, home }
      leastCost = cost
    }
  }
  return best
}

/** Returns the bonus of a preferred replica; it fades as the replica becomes slower than other upstreams. */
function bonusMs (
  { pools }: Pick<ChoiceContext, 'pools'>, upstreams: KnownUpstream[], { health }: ChosenUpstream['resources']
): number {
  const { latencyMs } = health
  const fastestMs = upstreams.reduce((least, other) => Math.min(least, pools.of(other).health.latencyMs), latencyMs)
  return Math.max(0, PREFERRED_BONUS_MS - BONUS_LOSS * (latencyMs - fastestMs))
}

/**
 * Returns the replica that an organisation's reads prefer. All hosts compute the same one; when a replica leaves, only
 * the organisations that preferred it change.
 */
function preferredReplica (
  upstreams: KnownUpstream[], organisation: string | undefined, primary: string | undefined
): string | undefined {
  if (organisation === undefined || organisation === '') {
    return undefined
  }
  let preferred: string | undefined
  let highest = ''
  for (const { upstream, draining } of upstreams) {
    const score = upstream === primary || draining ? '' : scoreOf(organisation, upstream)
    if (score > highest) {
      preferred = upstream
      highest = score
    }
  }
  return preferred
}

/** Properties of an upstream that determine its cost for a read. */
export interface ReadCandidate {
  /** Average latency of its statements, in milliseconds. */
  latencyMs: number
  /**
   * Time until the read would end according to the home that runs it, in milliseconds: the wait in its queue and the
   * expected duration. Absent if no statement waits there, or if the home does not report it.
   */
  expectedEndMs?: number
  /** Number of statements that this host runs, queues or forwards there. */
  busy: number
  /** Number of statements that it runs concurrently. */
  slots: number
  isLocalDomain: boolean
  isPrimary: boolean
  /** Whether the read is forwarded to a home, so that this host needs no connection. */
  throughHome: boolean
  /** Whether this host has an idle connection to it or may open another one. */
  hasRoom: boolean
  /** Whether this host has any connection to it. */
  hasConnections: boolean
  /** Whether its log is known to have reached the required position. */
  hasReachedPosition: boolean
  /** Whether it lagged recently. */
  lagging: boolean
  /** Whether it failed recently. */
  avoided: boolean
}

/**
 * Returns the cost of serving a read at an upstream.
 *
 * @param candidate - the upstream
 * @returns the cost, in milliseconds
 */
export function readCostMs (candidate: ReadCandidate): number {
  const { latencyMs, expectedEndMs, busy, slots, isPrimary } = candidate
  const { throughHome, hasRoom, hasConnections, lagging, hasReachedPosition } = candidate
  return Math.max(latencyMs * (1 + busy / slots), expectedEndMs ?? 0) +
    (candidate.isLocalDomain ? 0 : CROSS_DOMAIN_COST_MS) +
    (isPrimary ? PRIMARY_COST_MS : 0) +
    (isPrimary && expectedEndMs !== undefined ? PRIMARY_QUEUE_COST_MS : 0) +
    (throughHome || hasRoom ? 0 : CONNECTION_WAIT_COST_MS) +
    (throughHome || hasRoom || hasConnections ? 0 : FIRST_CONNECTION_COST_MS) +
    (lagging && !hasReachedPosition ? LAGGING_COST_MS : 0) +
    (candidate.avoided ? AVOIDED_COST_MS : 0)
}

function createCandidate (
  { failureDomain, homes }: ChoiceContext, scope: RequestScope, { target, resources, home }: ReadChoice,
  position: LogPosition, isPrimary: boolean
): ReadCandidate {
  const { health, pool, queue } = resources
  const waitMs = home === undefined
    ? ownWaitMs(queue, scope)
    : homes.waitAt(home, target.upstream, scope.priority)
  return {
    latencyMs: health.latencyMs,
    expectedEndMs: waitMs > 0 ? waitMs + scope.costMs : undefined,
    busy: queue.running + queue.waiting + homes.inProgressAt(target.upstream),
    slots: target.slots,
    isLocalDomain: target.failureDomain === failureDomain,
    isPrimary,
    throughHome: home !== undefined,
    hasRoom: pool.hasRoom,
    hasConnections: pool.size > 0,
    hasReachedPosition: health.highestPosition !== undefined && comparePositions(health.highestPosition, position) >= 0,
    lagging: health.lagging,
    avoided: health.avoided
  }
}

/** Returns how long a read would wait in the queue of this host, which is a home. */
function ownWaitMs (queue: ReadChoice['resources']['queue'], scope: RequestScope): number {
  return queue.waiting === 0 ? 0 : queue.waitFor(queueRequestOf(scope, scope.deadline.leftMs))
}
