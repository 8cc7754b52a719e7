/**
 * Grants that this host holds for one organisation: how many operations to request, how long grants may be used, and
 * which unused ones are returned to the owner.
 *
 * A request covers the waiting operations and those that the recent rate predicts for {@link PREFETCH_MS}, which saves
 * a round trip per operation. Unused grants expire after that time, so that no host withholds them from others.
 */
import type { OperationLimit } from '../ports/index.ts'
import type { Grant, PriorityGrant, PriorityRequest, TakeAnswer } from './limit-frames.ts'

/** Time span covered by a request for grants, and the time for which grants may be used, in milliseconds. */
const PREFETCH_MS = 200
/** Half-life of the count of recent operations, in milliseconds. */
const RATE_HALF_LIFE_MS = 500
/** Retry time when no owner answered, in milliseconds; by then another host is asked. */
const NO_ANSWER_RETRY_MS = 300
/** Time between two batches of returned operations, in milliseconds. */
export const RETURN_INTERVAL_MS = 100
/**
 * Age up to which an operation that did not run is used again or returned, in milliseconds. An older one would run in a
 * later window than the one it was granted in; the bound of the limit covers 0.3 s between grant and run.
 */
const RETURN_WITHIN_MS = 300

const SECOND_MS = 1000

/** Answer of the host that owns a limit. */
export interface GrantAnswer extends TakeAnswer {
  /** Name of the host that owns the limit. */
  owner: string
}

/** Bucket of a limit at its owner. */
export interface GrantingBucket {
  /** Name of the host that owns the limit. */
  owner: string
  /** Instance of the bucket; unique only on its host. */
  id: number
}

/** Grants that this host holds for one organisation; times on the monotonic clock, in milliseconds. */
export interface OrganisationGrants {
  /** Unused operations; negative after retries that were counted without a grant. */
  left: number
  usableUntil: number
  /** Time from which the age of the unused operations counts: that of the oldest one. */
  heldSince: number
  /** How many of the unused operations the last bucket granted, so that they can be returned to it. */
  returnable: number
  /** Operations that may no longer be used here and are returned with the next batch. */
  toReturn: number
  /** Exponentially decayed number of recent operations, and when it was updated. */
  recentCount: number
  recentCountAt: number
  /** Bucket that granted last, and when its first answer arrived; undefined if operations can't be returned. */
  bucket?: GrantingBucket | undefined
  bucketSince: number
  /** Last answer of the owner; undefined when no host answered. */
  lastAnswer?: GrantAnswer
}

/**
 * Creates the grants of an organisation.
 *
 * @returns grants without any operation
 */
export function createOrganisationGrants (): OrganisationGrants {
  const now = performance.now()
  return {
    left: 0,
    usableUntil: -Infinity,
    heldSince: -Infinity,
    returnable: 0,
    toReturn: 0,
    recentCount: 0,
    recentCountAt: now,
    bucketSince: now
  }
}

/** Counts an operation towards the recent rate. */
export function countRequest (grants: OrganisationGrants): void {
  const now = performance.now()
  grants.recentCount = grants.recentCount * 0.5 ** ((now - grants.recentCountAt) / RATE_HALF_LIFE_MS) + 1
  grants.recentCountAt = now
}

/**
 * Takes one granted operation.
 *
 * @param grants - the grants
 * @returns the time from which its age counts; undefined when none is left or the grants have expired
 */
export function consumeGrant (grants: OrganisationGrants): number | undefined {
  if (grants.left < 1 || performance.now() > grants.usableUntil) {
    return undefined
  }
  grants.left--
  grants.returnable = Math.min(grants.returnable, grants.left)
  return grants.heldSince
}

/** Counts an operation that runs whether or not one is left; without one it is owed to the owner. */
export function countUnconditionally (grants: OrganisationGrants): void {
  grants.left--
  grants.returnable = Math.max(0, Math.min(grants.returnable, grants.left))
}

/**
 * Computes how many operations to request from the owner in addition to those that wait.
 *
 * @param grants - the grants
 * @param limit - the limit in force
 * @returns the retries that were counted without a grant, and the operations expected within {@link PREFETCH_MS}: no
 *   more than rate and burst permit, so that a host does not hold operations of a small limit that others lack
 */
export function computeAdvance (
  { left, recentCount }: OrganisationGrants, limit: OperationLimit | undefined
): { owed: number, expected: number } {
  const perSecond = recentCount * Math.LN2 / RATE_HALF_LIFE_MS * SECOND_MS
  const permitted = limit === undefined ? Infinity : limit.perSecond + limit.burst
  return { owed: Math.max(0, -left), expected: Math.floor(Math.min(perSecond, permitted) * PREFETCH_MS / SECOND_MS) }
}

/**
 * Reads an answer as grants by priority. An older owner grants without regard to priorities: what it grants goes to the
 * most urgent operations. Without any answer everything is refused.
 *
 * @param requests - operations requested, the most urgent first
 * @param answer - the answer; undefined when no host answered
 * @returns the grants, in the order of the requests
 */
export function grantsByPriority (
  requests: readonly PriorityRequest[], answer: Grant | undefined
): readonly PriorityGrant[] {
  if (answer?.byPriority !== undefined) {
    return answer.byPriority
  }
  let left = answer?.granted ?? 0
  const retryAfterMs = answer === undefined ? NO_ANSWER_RETRY_MS : answer.retryAfterMs
  return requests.map(({ priority, wanted }) => {
    const granted = Math.min(wanted, left)
    left -= granted
    return { priority, granted, turnsMs: [], retryAfterMs: granted < wanted ? retryAfterMs : 0 }
  })
}

/**
 * Records the answer of the owner, and keeps the operations that it granted in advance.
 *
 * @param grants - the grants
 * @param answer - the answer; undefined when no host answered
 * @param forWaiting - how many of the granted operations are for those that wait
 * @returns unused operations that have expired, since another bucket granted them
 */
export function recordAnswer (
  grants: OrganisationGrants, answer: GrantAnswer | undefined, forWaiting: number
): number {
  const now = performance.now()
  let expired = 0
  if (answer !== undefined && !isGrantedBy(answer, grants.bucket)) {
    expired = grants.toReturn
    const bucket = answer.bucket === undefined ? undefined : { owner: answer.owner, id: answer.bucket }
    Object.assign(grants, { bucket, bucketSince: now, returnable: 0, toReturn: 0 })
  }
  const inAdvance = Math.max(0, (answer?.granted ?? 0) - forWaiting)
  if (inAdvance > 0) {
    if (grants.left > 0 && now > grants.usableUntil) {
      expired += grants.left - grants.returnable
      grants.toReturn += grants.returnable
      grants.left = 0
      grants.returnable = 0
    }
    grants.heldSince = grants.left > 0 ? grants.heldSince : now
    grants.left += inAdvance
    grants.returnable = Math.min(grants.left, grants.returnable + inAdvance)
    grants.usableUntil = now + PREFETCH_MS
  }
  grants.lastAnswer = answer
  return expired
}

/** Whether an answer comes from a bucket; buckets of two hosts may have the same number. */
function isGrantedBy (answer: GrantAnswer, bucket: GrantingBucket | undefined): boolean {
  return answer.bucket === bucket?.id && (bucket === undefined || answer.owner === bucket.owner)
}

/**
 * Refunds an operation that did not run, so that it is used again or returned.
 *
 * @param grants - the grants
 * @param takenAt - time from which its age counts
 * @returns false when it is too old
 */
export function refundGrant (grants: OrganisationGrants, takenAt: number): boolean {
  const now = performance.now()
  if (now - takenAt > RETURN_WITHIN_MS) {
    return false
  }
  if (grants.left > 0 && now > grants.usableUntil) {
    grants.toReturn += grants.returnable
    grants.left = 0
    grants.returnable = 0
  }
  grants.usableUntil = grants.left > 0
    ? grants.usableUntil
    : Math.min(now + RETURN_INTERVAL_MS, takenAt + RETURN_WITHIN_MS)
  grants.heldSince = grants.left > 0 ? Math.min(grants.heldSince, takenAt) : takenAt
  grants.left++
  grants.returnable = Math.max(0, Math.min(grants.left, grants.returnable + (takenAt >= grants.bucketSince ? 1 : 0)))
  return true
}

/** Whether unused operations are held that must be used or returned. */
export function holdsOperations ({ left, toReturn }: OrganisationGrants): boolean {
  return left > 0 || toReturn > 0
}

/**
 * Removes the operations that can no longer be used here.
 *
 * @param grants - the grants
 * @returns the operations to return to the bucket that granted them, and those that have expired for good
 */
export function removeUnused (grants: OrganisationGrants): { returned: number, expired: number } {
  let expired = 0
  if (grants.left > 0 && performance.now() > grants.usableUntil) {
    expired = grants.left - grants.returnable
    grants.toReturn += grants.returnable
    grants.left = 0
    grants.returnable = 0
  }
  const isReturnable = grants.bucket !== undefined
  const returned = isReturnable ? grants.toReturn : 0
  expired += isReturnable ? 0 : grants.toReturn
  grants.toReturn = 0
  return { returned, expired }
}
