/**
 * Token bucket that enforces the limit of one organisation at its owner.
 *
 * In any time span it grants at most its depth plus its rate times the span. Refused requests get consecutive retry
 * times, spaced by the rate of the bucket, so that they do not all retry at once.
 */
import type { BucketParameters } from './bucket-parameters.ts'

/** Longest retry time given to callers, in milliseconds; bounded since the limit may be raised in the meantime. */
const MAXIMUM_RETRY_AFTER_MS = 2000

/** Answer to a request for operations. */
export interface Grant {
  /** Number of operations that may run. */
  granted: number
  /** Time after which to request more, in milliseconds; 0 when all requested operations were granted. */
  retryAfterMs: number
}

/** Token bucket of one organisation. */
export interface TokenBucket {
  /** Whole tokens left after the last grant. */
  readonly left: number
  /**
   * Grants operations.
   *
   * @param wanted - number of operations
   * @param parameters - rate and depth of the bucket for the limit in force
   * @param share - fraction of the rate and depth that this host may grant, from 0 to 1
   * @returns the granted operations
   */
  grant: (wanted: number, parameters: BucketParameters, share: number) => Grant
}

const SECOND_MS = 1000

/**
 * Creates the bucket of an organisation whose limit this host begins to own.
 *
 * @param startsFull - true when no host can have granted operations recently; otherwise the bucket starts with
 *   `initial` tokens
 * @param filledSince - time since when it has been filling, on the monotonic clock; now by default
 * @returns the bucket
 */
export function createTokenBucket (startsFull: boolean, filledSince = performance.now()): TokenBucket {
  let level: number | undefined
  let filledAt = Math.min(filledSince, performance.now())
  /** End of the time slots that were assigned to refused requests. */
  let reservedUntil = performance.now()

  const fill = ({ perSecond, depth, initial }: BucketParameters, share: number): number => {
    const now = performance.now()
    const inflow = (now - filledAt) / SECOND_MS * perSecond * share
    filledAt = now
    return Math.min((level ?? (startsFull ? depth : initial)) + inflow, depth * share)
  }
  const reserveRetry = (remaining: number, perSecond: number, missing: number): number => {
    const now = performance.now()
    const intervalMs = perSecond > 0 ? SECOND_MS / perSecond : MAXIMUM_RETRY_AFTER_MS
    reservedUntil = Math.max(reservedUntil, now + Math.max(0, 1 - remaining) * intervalMs)
    const retryAfterMs = Math.min(MAXIMUM_RETRY_AFTER_MS, Math.ceil(reservedUntil - now))
    reservedUntil = Math.min(now + MAXIMUM_RETRY_AFTER_MS, reservedUntil + missing * intervalMs)
    return Math.max(1, retryAfterMs)
  }
  return {
    get left () { return Math.floor(level ?? 0) },
    grant: (wanted, parameters, share) => {
      const filled = fill(parameters, share)
      const granted = Math.min(wanted, Math.floor(filled))
      level = filled - granted
      const missing = wanted - granted
      return { granted, retryAfterMs: missing > 0 ? reserveRetry(level, parameters.perSecond * share, missing) : 0 }
    }
  }
}
