/**
 * How much a limit leaves, and when a request that is refused may come back. A token bucket of one organisation, as the
 * owner of its limit counts it.
 *
 * Inputs: rate and depth of the bucket (see bucket-parameters.ts); the part of them at which this host may grant, from
 * 0 to 1; the operations wanted.
 * Rule: in any span of time it grants no more than its rate times the span, and its depth. Requests that are refused
 * are given times one after the other, as fast as the bucket fills, so that they do not come back together.
 */
import type { BucketParameters } from './bucket-parameters.ts'

/** Greatest time after which callers are told to come back, in milliseconds: a limit may be raised meanwhile. */
const GREATEST_RETRY_MS = 2000

/** What was granted. */
export interface Grant {
  /** Operations that may be run. */
  granted: number
  /** Time after which one more may be asked for, in milliseconds; 0 when all that was asked for was granted. */
  retryAfterMs: number
}

/** What a limit leaves to one organisation. */
export interface TokenBucket {
  /** Operations that were left after the last grant. */
  readonly left: number
  /**
   * Grants operations.
   *
   * @param wanted - number of operations
   * @param parameters - rate and depth for the limit in force
   * @param part - part of both at which this host may grant, from 0 to 1
   * @returns what was granted
   */
  grant: (wanted: number, parameters: BucketParameters, part: number) => Grant
}

const SECOND_MS = 1000

/**
 * Creates the bucket of an organisation whose limit this host begins to own.
 *
 * @param isUnused - whether nothing can have been granted lately, by another host either; else little is in it at first
 * @returns the bucket
 */
export function createTokenBucket (isUnused: boolean): TokenBucket {
  let level: number | undefined
  let filledAt = performance.now()
  /** Time until which operations are promised to requests that were refused. */
  let promisedUntil = filledAt

  const fill = ({ perSecond, depth, first }: BucketParameters, part: number): number => {
    const now = performance.now()
    const inflow = (now - filledAt) / SECOND_MS * perSecond * part
    filledAt = now
    return Math.min((level ?? (isUnused ? depth : first)) + inflow, depth * part)
  }
  const promise = (leftNow: number, perSecond: number, missing: number): number => {
    const now = performance.now()
    const eachMs = perSecond > 0 ? SECOND_MS / perSecond : GREATEST_RETRY_MS
    promisedUntil = Math.max(promisedUntil, now + Math.max(0, 1 - leftNow) * eachMs)
    const retryAfterMs = Math.min(GREATEST_RETRY_MS, Math.ceil(promisedUntil - now))
    promisedUntil = Math.min(now + GREATEST_RETRY_MS, promisedUntil + missing * eachMs)
    return Math.max(1, retryAfterMs)
  }
  return {
    get left () { return Math.floor(level ?? 0) },
    grant: (wanted, parameters, part) => {
      const filled = fill(parameters, part)
      const granted = Math.min(wanted, Math.floor(filled))
      level = filled - granted
      const missing = wanted - granted
      return { granted, retryAfterMs: missing > 0 ? promise(level, parameters.perSecond * part, missing) : 0 }
    }
  }
}
