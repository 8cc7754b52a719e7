/**
 * How many operations a host asks for in advance, for how long they may be used, and for how long it refuses without
 * asking again. Owns what this host has of one organisation's limit.
 *
 * Inputs: operations that were begun here and when, operations that wait, answers of the limit's owner (operations
 * granted; time until the next one, in milliseconds).
 * Rule: what waits, and what the recent rate makes likely within {@link PREFETCH_MS}, is asked for together. When less
 * is granted and does not suffice for those that wait, the host refuses for the time that the owner gave, for {@link
 * REFUSED_HERE_MS} at most. Operations that are not used within {@link PREFETCH_MS} lapse.
 * Why: a question for each operation would take a round trip each; a longer prefetch would let one host hold what
 * others need.
 */
import type { Grant } from './token-bucket.ts'

/**
 * Time for which a host asks in advance, in milliseconds, and for which what it was granted may be used. A host with a
 * hundred operations a second of one organisation asks five times a second for it, and one with few asks for each.
 */
const PREFETCH_MS = 200
/** Half-life of the count of recent operations, in milliseconds. */
const RATE_HALF_LIFE_MS = 500
/**
 * Greatest time for which a host refuses an organisation without asking again, in milliseconds. Callers that ask less
 * than before are served again so soon; the hosts of one that asks far too much ask the owner 2.5 times a second each.
 */
export const REFUSED_HERE_MS = 400
/**
 * When callers come back after no host could say what a limit leaves, in milliseconds: another host is asked by then.
 */
const NO_ANSWER_RETRY_MS = 300

const SECOND_MS = 1000

/** An answer of the host that owns a limit. */
export interface GrantAnswer extends Grant {
  /** Version of the desired state whose limit it is. */
  version: number
  /** Host that owns the limit. */
  keeper: string
}

/** What a host has of one organisation's limit; times on the steady clock, in milliseconds. */
export interface OrganisationGrants {
  /** Operations that were granted and not used; negative after repetitions that were counted without a grant. */
  left: number
  usableUntil: number
  /** Operations lately, counting less the longer ago they were, and when that was computed. */
  recent: number
  recentAt: number
  /** Until when operations are refused without asking again. */
  refusedUntil: number
  /** When callers that are refused are to come back. */
  retryAt: number
  /** The answer by which operations are refused; undefined when no host answered. */
  refusedBy?: GrantAnswer
}

/**
 * Creates the grants of an organisation.
 *
 * @returns no operation yet
 */
export function createOrganisationGrants (): OrganisationGrants {
  return {
    left: 0,
    usableUntil: -Infinity,
    recent: 0,
    recentAt: performance.now(),
    refusedUntil: -Infinity,
    retryAt: -Infinity
  }
}

/** Counts an operation that is about to begin, for the rate. */
export function countRequest (grants: OrganisationGrants): void {
  const now = performance.now()
  grants.recent = grants.recent * 0.5 ** ((now - grants.recentAt) / RATE_HALF_LIFE_MS) + 1
  grants.recentAt = now
}

/**
 * Uses one granted operation.
 *
 * @param grants - the grants
 * @returns whether there was one
 */
export function takeGranted (grants: OrganisationGrants): boolean {
  if (grants.left < 1 || performance.now() > grants.usableUntil) {
    return false
  }
  grants.left--
  return true
}

/** Whether operations are refused without asking the owner. */
export function isRefusedHere ({ refusedUntil }: OrganisationGrants): boolean {
  return performance.now() < refusedUntil
}

/**
 * Computes how many operations the owner is asked for.
 *
 * @param grants - the grants
 * @param waiting - operations that wait
 * @returns their number, those that are expected soon included
 */
export function countWanted ({ left, recent }: OrganisationGrants, waiting: number): number {
  const perSecond = recent * Math.LN2 / RATE_HALF_LIFE_MS * SECOND_MS
  return waiting - Math.min(0, left) + Math.floor(perSecond * PREFETCH_MS / SECOND_MS)
}

/**
 * Records the answer of the owner.
 *
 * @param grants - the grants
 * @param wanted - operations that it was asked for
 * @param waiting - operations that wait
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
  // With all that was asked for granted, those that came meanwhile are asked for next.
  const isRefused = granted < wanted && grants.left < waiting
  grants.refusedUntil = isRefused ? now + Math.min(REFUSED_HERE_MS, retryAfterMs) : -Infinity
  grants.retryAt = now + retryAfterMs
  grants.refusedBy = answer
}

/** Gives back an operation that was certainly not run. */
export function giveBackGranted (grants: OrganisationGrants): void {
  const now = performance.now()
  grants.left = (now <= grants.usableUntil ? grants.left : 0) + 1
  grants.usableUntil = now + PREFETCH_MS
}
