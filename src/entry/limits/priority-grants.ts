/**
 * Grants the operations of a bucket to the priorities of an organisation: the most urgent first, each down to the level
 * that its wait and the demand of more urgent ones permit, and at least its floor. What is refused gets a retry time.
 */
import type { BucketParameters } from './bucket-parameters.ts'
import type { Grant, PriorityGrant, PriorityRequest } from './limit-frames.ts'
import { countedPriority, createPriorityDemands, levelForWait, type PriorityDemands } from './priority-demand.ts'
import type { TokenBucket } from './token-bucket.ts'

/** Longest retry time that an owner states, in milliseconds; bounded since the limit may be raised in the meantime. */
const MAXIMUM_RETRY_AFTER_MS = 1000
/** Part of the depth that operations requested in advance leave in the bucket, for requests that wait. */
const ADVANCE_RESERVE_SHARE = 0.5

const SECOND_MS = 1000

/** Bucket from which operations are granted, and the limit in force. */
interface BucketInForce {
  bucket: TokenBucket
  parameters: BucketParameters
  /** Fraction of rate and depth that this host may grant, from 0 to 1. */
  share: number
}

/** Grants operations to the priorities of one organisation. */
export interface PriorityGrants {
  /**
   * Grants operations.
   *
   * @param requests - operations that wait for a grant
   * @param advance - number of operations requested in advance
   * @param inForce - the bucket and the limit
   * @returns the grants, in the order of urgency
   */
  grant: (requests: readonly PriorityRequest[], advance: number, inForce: BucketInForce) => Grant
}

/**
 * Creates the grants of an organisation.
 *
 * @param demands - demand of its priorities
 * @returns the grants
 */
export function createPriorityGrants (demands: PriorityDemands = createPriorityDemands()): PriorityGrants {
  /** End of the retry times that were given to refused hosts, by priority. */
  const retryUntil = new Map<number, number>()

  /**
   * Gives a refused host its retry time: when the bucket will have risen far enough, and later for each further host,
   * as fast as operations become available, so that they do not all ask at once.
   */
  const reserveRetry = (priority: number, missingLevel: number, perSecond: number): number => {
    const now = performance.now()
    const rate = demands.rateLeft(priority, perSecond)
    const intervalMs = rate > 0 ? SECOND_MS / rate : MAXIMUM_RETRY_AFTER_MS
    const earliest = now + Math.max(0, missingLevel) * intervalMs
    const at = Math.min(now + MAXIMUM_RETRY_AFTER_MS, Math.max(retryUntil.get(priority) ?? 0, earliest))
    retryUntil.set(priority, at + intervalMs)
    return Math.max(1, Math.ceil(at - now))
  }
  const grantPriority = (request: PriorityRequest, { bucket, parameters, share }: BucketInForce): PriorityGrant => {
    const counted = { ...request, priority: countedPriority(request.priority) }
    const { wanted, maximumWaitMs, priority } = counted
    const perSecond = parameters.perSecond * share
    const level = bucket.level
    const lowest = demands.lowestLevel(counted, parameters, share)
    const regular = Math.max(0, Math.min(wanted, Math.floor(level - lowest)))
    const belowReserve = Math.floor(level - regular - levelForWait(maximumWaitMs, perSecond))
    const fromFloor = Math.max(0, Math.min(wanted - regular, demands.floorOf(priority) - regular, belowReserve))
    const granted = regular + fromFloor
    const turnsMs = bucket.take(granted, perSecond)
    demands.countGranted(priority, granted)
    const retryAfterMs = granted < wanted ? reserveRetry(priority, lowest + 1 - bucket.level, perSecond) : 0
    return { priority: request.priority, granted, turnsMs, retryAfterMs }
  }
  return {
    grant: (requests, advance, inForce) => {
      const { bucket, parameters, share } = inForce
      bucket.fill(parameters, share)
      requests.forEach((request) =>
        demands.record({ ...request, priority: countedPriority(request.priority) }, parameters.perSecond * share))
      const byPriority = [...requests].sort((left, right) => left.priority - right.priority)
        .map((request) => grantPriority(request, inForce))
      const spare = Math.floor(bucket.level - parameters.depth * share * ADVANCE_RESERVE_SHARE)
      const inAdvance = Math.max(0, Math.min(advance, spare))
      bucket.take(inAdvance, parameters.perSecond * share)
      return {
        granted: inAdvance + byPriority.reduce((sum, { granted }) => sum + granted, 0),
        retryAfterMs: Math.max(0, ...byPriority.map(({ retryAfterMs }) => retryAfterMs)),
        byPriority,
        bucket: bucket.id
      }
    }
  }
}
