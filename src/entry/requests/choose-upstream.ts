/** Chooses the upstream for a read. */
import type { KnownHost } from '../registry/index.ts'
import { comparePositions, type LogPosition } from '../../positions/position.ts'
import type { ChosenUpstream, EntryContext, RequestScope } from './types.ts'
import { mayTakeWork } from './primary-access.ts'

/**
 * Cost of a hop to another failure domain, in milliseconds: a round trip, and the bytes that it carries, which are paid
 * for. Waiting so long behind others is less than a tenth of what routes give for an answer in time.
 */
const OTHER_DOMAIN_MS = 25
/**
 * Cost of using the primary for a read that a replica can serve, in milliseconds: its slots are needed for writes. Less
 * than a hop to another failure domain: at 40, reads of the primary's own domain went to replicas of others, and the
 * bytes between domains rose by half while no more callers were served in time.
 */
const PRIMARY_MS = 12
/** Cost of a connection that must be opened or waited for, in milliseconds. */
const NO_ROOM_MS = 25
/** Cost of an upstream that has no room for a first connection of this host, in milliseconds: it may take seconds. */
const NO_CONNECTION_MS = 400
/**
 * Cost of a replica that lagged lately and is not known to have what the read must find, in milliseconds: more than the
 * wait at a busy primary, since trying such replicas first only puts the read behind others there.
 */
const LAGGING_MS = 400
/** Cost of an upstream that failed lately, in milliseconds: it comes last. */
const AVOIDED_MS = 5000

/** An upstream for a read, and the home through which it is reached; without one this host goes there itself. */
export interface ReadChoice extends ChosenUpstream {
  home?: KnownHost
}

/**
 * Chooses the upstream for a read.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param position - what the read must find
 * @param tried - upstreams that have been tried
 * @returns the upstream, and the home through which it is reached; undefined when none is left
 */
export function chooseForRead (
  context: EntryContext, { group, organisation, triedHomes }: RequestScope, position: LogPosition,
  tried: ReadonlySet<string>
): ReadChoice | undefined {
  const primary = context.leadership.primaryOf(group)
  let best: ReadChoice | undefined
  let leastCost = Infinity
  for (const known of context.directory.ofGroup(group)) {
    if (tried.has(known.upstream) || known.draining || !mayTakeWork(known, context.drainMs)) {
      continue
    }
    const used = context.pools.of(known)
    const home = context.homes.choose(known, triedHomes, organisation)
    const cost = costOf(context, { known, used, home }, position, known.upstream === primary)
    if (cost < leastCost) {
      best = { known, used, home }
      leastCost = cost
    }
  }
  return best
}

function costOf (
  { failureDomain, homes }: EntryContext, { known, used, home }: ReadChoice, position: LogPosition, isPrimary: boolean
): number {
  const { health, pool, queue } = used
  const busy = queue.running + queue.waiting + homes.loadOf(known.upstream)
  const hasReached = health.reached !== undefined && comparePositions(health.reached, position) >= 0
  return health.latencyMs * (1 + busy / known.slots) +
    (known.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MS) +
    (isPrimary ? PRIMARY_MS : 0) +
    (home !== undefined || pool.hasRoom ? 0 : NO_ROOM_MS) +
    (home !== undefined || pool.hasRoom || pool.size > 0 ? 0 : NO_CONNECTION_MS) +
    (health.lagging && !hasReached ? LAGGING_MS : 0) +
    (health.avoided ? AVOIDED_MS : 0)
}
