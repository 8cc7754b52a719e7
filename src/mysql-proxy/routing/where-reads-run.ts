/**
 * Selects the upstream of a read. A replica is eligible if it is available, its log covers the session's floor, and its
 * data isn't older than the read's kind accepts. A session stays on the replica it last read from; otherwise an idle
 * replica in the home's failure domain is preferred, then the less loaded of two random ones. Without an eligible
 * replica, the read waits briefly for one to catch up and then goes to the primary. Replicas are only used while the
 * group's duty `reads` is `act`.
 */
import { meetsFloor, type LogPosition, type SeenUpstream, type SessionFloor } from '../../positions/position.ts'

/** Share of the remaining time that a read may wait for a replica, so that the primary still has time to run it. */
const CATCH_UP_SHARE = 0.5
/** Number of times that data ages are refreshed within the greatest accepted age. */
const REFRESHES_PER_AGE = 4
/** Bounds of the interval at which data ages are refreshed, in milliseconds. */
const SHORTEST_REFRESH_MS = 20
const LONGEST_REFRESH_MS = 250

/** State of a replica that determines its eligibility for a read. */
interface ReplicaState {
  isAvailable: boolean
  /** Last reported end of the replica's log. */
  end: LogPosition
  /** Age of the replica's data, in milliseconds. */
  ageMs: number
}

/** An eligible replica and its load. */
interface ReplicaLoad {
  name: string
  /** Whether the replica is in the home's failure domain. */
  isInLocalDomain: boolean
  /** Number of requests waiting for a connection to the replica. */
  queued: number
  /** Expected time until another request would complete, in milliseconds. */
  loadMs: number
}

/** A read of a session that may stay on its last replica. */
interface StickyRead {
  floor: SessionFloor
  /** Whether the read needs a read index from a majority. */
  readIndex: boolean
  replicaReadsEnabled: boolean
}

/**
 * Decides whether a replica may serve a read.
 *
 * @param replica - state of the replica
 * @param floor - resolved floor of the session
 * @param maximumAgeMs - greatest accepted age of the data, in milliseconds
 * @returns whether it may
 */
export function isEligible (
  { isAvailable, end, ageMs }: ReplicaState, floor: LogPosition, maximumAgeMs: number
): boolean {
  return isAvailable && meetsFloor(end, floor) && ageMs <= maximumAgeMs
}

/**
 * Finds the replica that a session may stay on.
 *
 * @param read - the read
 * @returns the only replica that the session has read from, with the identity of its database; undefined otherwise
 */
export function stickyCandidate ({ floor, readIndex, replicaReadsEnabled }: StickyRead): SeenUpstream | undefined {
  return readIndex || floor.seenOn.length > 1 || !replicaReadsEnabled ? undefined : floor.seenOn[0]
}

/**
 * Chooses one of the eligible replicas.
 *
 * @param eligible - the eligible replicas; at least one
 * @param random - returns a number in [0, 1); called twice, or not at all
 * @returns name of the chosen replica
 */
export function pickReplica (eligible: ReplicaLoad[], random: () => number): string {
  const localReplica = eligible.find(({ isInLocalDomain }) => isInLocalDomain)
  if (localReplica?.queued === 0) {
    return localReplica.name
  }
  const first = eligible[Math.floor(random() * eligible.length)]!
  const second = eligible[Math.floor(random() * eligible.length)]!
  return first.loadMs <= second.loadMs ? first.name : second.name
}

/**
 * Computes how long a read may wait for a replica to become eligible.
 *
 * @param catchUpMs - the group's limit, in milliseconds
 * @param leftMs - time left until the read's deadline, in milliseconds
 * @returns the longest wait, in milliseconds
 */
export function catchUpWaitMs (catchUpMs: number, leftMs: number): number {
  return Math.min(catchUpMs, leftMs * CATCH_UP_SHARE)
}

/**
 * Computes the interval at which data ages are refreshed.
 *
 * @param maximumAgeMs - greatest age that the read accepts, in milliseconds
 * @returns the interval, in milliseconds
 */
export function refreshIntervalMs (maximumAgeMs: number): number {
  return Math.max(SHORTEST_REFRESH_MS, Math.min(LONGEST_REFRESH_MS, maximumAgeMs / REFRESHES_PER_AGE))
}
