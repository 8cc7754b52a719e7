/**
 * Rule: where may a read run?
 *
 * Inputs: of each replica whether it takes work, the end of its log and the age of its data (ms); of the read the floor
 * of its session (a place in the log), the greatest age its kind accepts (`maximumAgeMs`), and the time left (ms); of
 * the group its duty `reads` and `limits.catchUpMs`; of the home its failure domain and the load of its pools.
 *
 * - A replica is fit when it takes work, its log covers the floor, and its data are not older than accepted. The floor
 *   holds whatever age the kind accepts: a session must find its own writes.
 * - A session that read from one fit replica only goes on there, without a question to anybody.
 * - Among fit replicas the first in the home's own failure domain wins while nothing queues for it; otherwise the less
 *   loaded of two random ones, which spreads reads without making all homes choose the same replica.
 * - Without a fit replica the read waits for one to catch up, at most `catchUpMs` and half of the time left, so that
 *   the primary still has time to run it. Then it goes to the primary. It goes there at once unless the duty is `act`.
 */
import { meetsFloor, type LogPosition, type SeenUpstream, type SessionFloor } from '../../positions/position.ts'

/** Part of the time left that a read may wait for a replica. */
const WAIT_SHARE = 0.5
/** Ages are measured again after the accepted age divided by this. */
const REFRESHES_PER_AGE = 4
/** Least and greatest time between two measurements of ages, in milliseconds. */
const SHORTEST_REFRESH_MS = 20
const LONGEST_REFRESH_MS = 250

/** A replica, as far as a read's fitness goes. */
interface ReplicaState {
  takesWork: boolean
  /** End of its log, as last seen. */
  end: LogPosition
  /** Age of its data, in milliseconds. */
  ageMs: number
}

/** A fit replica and its load. */
interface ReplicaLoad {
  name: string
  /** Whether it is in the failure domain of the home. */
  isNear: boolean
  /** Requests that wait for it. */
  queued: number
  /** Expected time until a further request is done, in milliseconds. */
  loadMs: number
}

/** What decides whether a session may go on with its replica. */
interface StickyRead {
  floor: SessionFloor
  /** Whether a majority must be asked for the floor. */
  readIndex: boolean
  dutyActs: boolean
}

/**
 * Decides whether a replica may serve a read.
 *
 * @param replica - the replica
 * @param floor - what the session has seen
 * @param maximumAgeMs - greatest age of the data, in milliseconds
 * @returns whether it may
 */
export function isFit ({ takesWork, end, ageMs }: ReplicaState, floor: LogPosition, maximumAgeMs: number): boolean {
  return takesWork && meetsFloor(end, floor) && ageMs <= maximumAgeMs
}

/**
 * Finds the replica that a session may go on with.
 *
 * @param read - the read
 * @returns the replica it read from last, and the identity of the database there; undefined when there is no single one
 */
export function stickyCandidate ({ floor, readIndex, dutyActs }: StickyRead): SeenUpstream | undefined {
  return readIndex || floor.seenOn.length > 1 || !dutyActs ? undefined : floor.seenOn[0]
}

/**
 * Chooses between fit replicas.
 *
 * @param fit - the fit replicas; at least one
 * @param random - returns a number from 0 up to 1; called twice, or not at all
 * @returns name of the chosen one
 */
export function pickReplica (fit: ReplicaLoad[], random: () => number): string {
  const nearest = fit.find(({ isNear }) => isNear)
  if (nearest?.queued === 0) {
    return nearest.name
  }
  const first = fit[Math.floor(random() * fit.length)]!
  const second = fit[Math.floor(random() * fit.length)]!
  return first.loadMs <= second.loadMs ? first.name : second.name
}

/**
 * Computes how long a read waits for a replica to become fit.
 *
 * @param catchUpMs - the group's limit, in milliseconds
 * @param leftMs - time left to the read, in milliseconds
 * @returns the wait, in milliseconds
 */
export function catchUpWaitMs (catchUpMs: number, leftMs: number): number {
  return Math.min(catchUpMs, leftMs * WAIT_SHARE)
}

/**
 * Computes after which time ages are measured again.
 *
 * @param maximumAgeMs - greatest age the read accepts, in milliseconds
 * @returns the time, in milliseconds
 */
export function refreshIntervalMs (maximumAgeMs: number): number {
  return Math.max(SHORTEST_REFRESH_MS, Math.min(LONGEST_REFRESH_MS, maximumAgeMs / REFRESHES_PER_AGE))
}
