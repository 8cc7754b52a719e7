/**
 * Grants that this host holds for one organisation: how many operations to request, how long grants may be used, and
 * how long to refuse operations without asking the owner again.
 *
 * A request covers the waiting operations and those that the recent rate predicts for {@link PREFETCH_MS}, which saves
 * a round trip per operation. Unused grants expire after that time, so that no host withholds them from others.
 */
import type { Grant } from './token-bucket.ts'

/** Time span covered by a request for grants, and the time for which grants may be used, in milliseconds. */
const PREFETCH_MS = 200
/** Half-life of the count of recent operations, in milliseconds. */
const RATE_HALF_LIFE_MS = 500
/**
 * Longest time for which a host refuses operations without asking the owner again, in milliseconds. It bounds both the
 * delay until callers are served again and the requests to the owner under overload, to 2.5 a second from each host.
 */
export const MAXIMUM_LOCAL_REFUSAL_MS = 400
/** Retry time when no owner answered, in milliseconds; by then another host is asked. */
const NO_ANSWER_RETRY_MS = 300

const SECOND_MS = 1000

/** Answer of the host that owns a limit. */
export interface GrantAnswer extends Grant {
  /** Version of the desired state that defines the limit. */
  version: number
  /** Name of the host that owns the limit. */
  owner: string
}

/** Grants that this host holds for one organisation; times on the monotonic clock, in milliseconds. */
export interface OrganisationGrants {
  /** Unused operations; negative after retries that were counted without a grant. */
  left: number
  usableUntil: number
  /** Exponentially decayed number of recent operations, and when it was updated. */
  recentCount: number
  recentCountAt: number
  /** End of the time in which operations are refused without asking the owner. */
  refusedUntil: number
  /** Time at which refused callers should retry. */
  retryAt: number
  /** Last answer of the owner, for the details of a refusal; undefined when no host answered. */
  lastAnswer?: GrantAnswer
}

/**
 * Creates the grants of an organisation.
 *
 * @returns grants without any operation
 */
export function createOrganisationGrants (): OrganisationGrants {
  return {
    left: 0,
    usableUntil: -Infinity,
    recentCount: 0,
    recentCountAt: performance.now(),
    refusedUntil: -Infinity,
    retryAt: -Infinity
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
 * @returns false when none is left or the grants have expired
 */
export function consumeGrant (grants: OrganisationGrants): boolean {
  if (grants.left < 1 || performance.now() > grants.usableUntil) {
    return false
  }
  grants.left--
  return true
}

/** Whether operations are refused without asking the owner. */
export function isRefusedLocally ({ refusedUntil }: OrganisationGrants): boolean {
  return performance.now() < refusedUntil
}

/**
 * Computes how many operations to request from the owner.
 *
 * @param grants - the grants
 * @param waiting - number of waiting operations
 * @returns the waiting operations, plus those expected within the next {@link PREFETCH_MS}
 */
export function computeWanted ({ left, recentCount }: OrganisationGrants, waiting: number): number {
  const perSecond = recentCount * Math.LN2 / RATE_HALF_LIFE_MS * SECOND_MS
  return waiting - Math.min(0, left) + Math.floor(perSecond * PREFETCH_MS / SECOND_MS)
}

/**
 * Records the answer of the owner.
 *
 * @param grants - the grants
 * @param wanted - number of operations that were requested
 * @param waiting - number of waiting operations
 * @param answer - the answer; undefined when no host answered
 */
export function recordAnswer (
  grants: OrganisationGrants, wanted: number, waiting: number, answer: GrantAnswer | undefined
): void {
  const now = performance.now()
  const granted = answer?.granted ?? 0
  const retryAfterMs = Math.max(1, answer === undefined ? NO_ANSWER_RETRY_MS : answer.retryAfterMs)
  grants.left = (grants.usableUntil >= now || grants.left < 0 ? grants.left : 0) + granted
  grants.usableUntil = now + PREFETCH_MS
  // When the request was granted in full, operations that arrived since then are requested next, not refused.
  const isRefused = granted < wanted && grants.left < waiting
  grants.refusedUntil = isRefused ? now + Math.min(MAXIMUM_LOCAL_REFUSAL_MS, retryAfterMs) : -Infinity
  grants.retryAt = now + retryAfterMs
  grants.lastAnswer = answer
}

/** Refunds an operation that did not run. */
export function refundGrant (grants: OrganisationGrants): void {
  const now = performance.now()
  grants.left = (now <= grants.usableUntil ? grants.left : 0) + 1
  grants.usableUntil = now + PREFETCH_MS
}
