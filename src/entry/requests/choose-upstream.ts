/**
 * Chooses the upstream for a read.
 *
 * Which one? Inputs: the upstreams of the group that were not tried and are not leaving, and what this host knows of
 * each ({@link ReadCandidate}). The one with the least cost in milliseconds of expected time; of equals the first in
 * the directory.
 */
import type { KnownHost } from '../registry/index.ts'
import { comparePositions, type LogPosition } from '../../positions/position.ts'
import type { ChosenUpstream, EntryContext, RequestScope } from './types.ts'
import { mayTakeWork } from './wait-rules.ts'

/**
 * Cost of a hop to another failure domain, in milliseconds: a round trip, and the bytes that it carries, which are paid
 * for. Waiting so long behind others is less than a tenth of what routes give for an answer in time.
 */
const OTHER_DOMAIN_MS = 25
/**
 * Cost of using the primary for a read that a replica can serve, in milliseconds: its slots are needed for writes. Less
 * than a hop to another failure domain, or reads of the primary's own domain would go to replicas of others.
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

/** What the choice needs from the rest of the process. */
type ChoiceContext = Pick<EntryContext, 'directory' | 'pools' | 'homes' | 'leadership' | 'failureDomain' | 'drainMs'>

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
  context: ChoiceContext, { group, organisation, triedHomes }: RequestScope, position: LogPosition,
  tried: ReadonlySet<string>
): ReadChoice | undefined {
  const primary = context.leadership.primaryOf(group)
  let best: ReadChoice | undefined
  let leastCost = Infinity
  for (const known of context.directory.ofGroup(group)) {
    if (tried.has(known.upstream) || known.draining || !mayTakeWork(known, context.drainMs, performance.now())) {
      continue
    }
    const used = context.pools.of(known)
    const home = context.homes.choose(known, triedHomes, organisation)
    const cost = readCostMs(candidateOf(context, { known, used, home }, position, known.upstream === primary))
    if (cost < leastCost) {
      best = { known, used, home }
      leastCost = cost
    }
  }
  return best
}

/** What is known of an upstream that may serve a read. */
export interface ReadCandidate {
  /** Ordinary time of a statement there, in milliseconds. */
  latencyMs: number
  /** Statements that this host runs, queues or forwards there. */
  busy: number
  /** Statements that it runs at a time. */
  slots: number
  isLocalDomain: boolean
  isPrimary: boolean
  /** Whether a home carries the read; the connections of this host do not matter then. */
  throughHome: boolean
  /** Whether this host may open another connection to it, or has an idle one. */
  hasRoom: boolean
  /** Whether this host has any connection to it. */
  hasConnections: boolean
  /** Whether it is known to have what the read must find. */
  hasReached: boolean
  /** Whether it lagged lately. */
  lagging: boolean
  /** Whether it failed lately. */
  avoided: boolean
}

/**
 * Returns the cost of serving a read at an upstream.
 *
 * @param candidate - the upstream
 * @returns the cost, in milliseconds of expected time
 */
export function readCostMs (candidate: ReadCandidate): number {
  const { latencyMs, busy, slots, throughHome, hasRoom, hasConnections, lagging, hasReached } = candidate
  return latencyMs * (1 + busy / slots) +
    (candidate.isLocalDomain ? 0 : OTHER_DOMAIN_MS) +
    (candidate.isPrimary ? PRIMARY_MS : 0) +
    (throughHome || hasRoom ? 0 : NO_ROOM_MS) +
    (throughHome || hasRoom || hasConnections ? 0 : NO_CONNECTION_MS) +
    (lagging && !hasReached ? LAGGING_MS : 0) +
    (candidate.avoided ? AVOIDED_MS : 0)
}

function candidateOf (
  { failureDomain, homes }: ChoiceContext, { known, used, home }: ReadChoice, position: LogPosition, isPrimary: boolean
): ReadCandidate {
  const { health, pool, queue } = used
  return {
    latencyMs: health.latencyMs,
    busy: queue.running + queue.waiting + homes.inProgressAt(known.upstream),
    slots: known.slots,
    isLocalDomain: known.failureDomain === failureDomain,
    isPrimary,
    throughHome: home !== undefined,
    hasRoom: pool.hasRoom,
    hasConnections: pool.size > 0,
    hasReached: health.reached !== undefined && comparePositions(health.reached, position) >= 0,
    lagging: health.lagging,
    avoided: health.avoided
  }
}
