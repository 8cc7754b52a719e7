/** Chooses the upstream for a read. */
import type { ChosenUpstream, EntryContext } from './types.ts'
import { mayTakeWork } from './primary-access.ts'

/** Cost of a hop to another failure domain, in milliseconds: a round trip, and the bytes that it carries. */
const OTHER_DOMAIN_MS = 5
/** Cost of using the primary for a read that a replica can serve, in milliseconds: its slots are needed for writes. */
const PRIMARY_MS = 12
/** Cost of a connection that must be opened or waited for, in milliseconds. */
const NO_ROOM_MS = 25
/** Cost of an upstream that has no room for a first connection of this host, in milliseconds: it may take seconds. */
const NO_CONNECTION_MS = 400
/** Cost of a replica that lagged lately, in milliseconds: a refusal, a second try, and likely a third. */
const LAGGING_MS = 60
/** Cost of an upstream that failed lately, in milliseconds: it comes last. */
const AVOIDED_MS = 5000
/** Part of a statement's time that each statement in progress there adds; an upstream runs three at a time. */
const SHARE_PER_STATEMENT = 1 / 3

/**
 * Chooses the upstream for a read.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param tried - upstreams that have been tried
 * @returns the upstream; undefined when none is left
 */
export function chooseForRead (
  context: EntryContext, group: string, tried: ReadonlySet<string>
): ChosenUpstream | undefined {
  const primary = context.leadership.primaryOf(group)
  let best: ChosenUpstream | undefined
  let leastCost = Infinity
  for (const known of context.directory.ofGroup(group)) {
    if (tried.has(known.upstream) || known.draining || !mayTakeWork(known, context.drainMs)) {
      continue
    }
    const used = context.pools.of(known)
    const cost = costOf(context, { known, used }, known.upstream === primary)
    if (cost < leastCost) {
      best = { known, used }
      leastCost = cost
    }
  }
  return best
}

function costOf ({ failureDomain }: EntryContext, { known, used }: ChosenUpstream, isPrimary: boolean): number {
  const { health, pool } = used
  const busy = pool.inUse + pool.waiting
  return health.latencyMs * (1 + busy * SHARE_PER_STATEMENT) +
    (known.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MS) +
    (isPrimary ? PRIMARY_MS : 0) +
    (pool.hasRoom ? 0 : NO_ROOM_MS) +
    (pool.hasRoom || pool.size > 0 ? 0 : NO_CONNECTION_MS) +
    (health.lagging ? LAGGING_MS : 0) +
    (health.avoided ? AVOIDED_MS : 0)
}
