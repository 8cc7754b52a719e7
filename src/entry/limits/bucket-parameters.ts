/**
 * Computes rate and depth of the token bucket for a limit.
 *
 * In any window, callers may run the rate times the window, the burst, and a part of the tolerance. The bucket fills at
 * somewhat more than 0.97 of rate and burst, so an organisation that asks for more gets that part in every window. The
 * rest of what callers may run is the depth.
 */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import type { OperationLimit } from '../ports/index.ts'

/** Settings that define how limits are counted. */
export type LimitCounting = EntrySettings['limits']

/** Rate and depth of a token bucket. */
export interface BucketParameters {
  /** Refill rate, in operations per second. */
  perSecond: number
  /** Capacity, in operations. */
  depth: number
  /** Initial tokens when another host may have granted operations recently. */
  initial: number
}

/** Fraction of rate and burst that an organisation which asks for more gets in every window. */
const GUARANTEED_SHARE = 0.97
/**
 * Inflow beyond the guaranteed share, since a window that ends with a higher level than it began with grants less than
 * the inflow: a fraction of rate and burst, and at least three operations, but no more than half of what is left for
 * the depth. Without it some windows of a load of 8 times the rate got 0.947 of rate and burst.
 */
const MARGIN = { share: 0.02, operations: 3, ofDepth: 0.5 } as const
/**
 * Fractions of the tolerance that are granted to callers. The rest covers operations granted twice, by both sides of a
 * partition until it is detected and by fallback owners, and the time between the grant of an operation and its run.
 */
const CALLER_SHARE = { ofPart: 0.25, ofOperations: 0.5 } as const
/**
 * Fraction of the tolerance in operations that a new bucket starts with. Two new buckets in one window stay within the
 * part of the tolerance that is not granted to callers.
 */
const INITIAL_SHARE = 0.25

/**
 * Computes the parameters of the bucket for a limit.
 *
 * @param limit - rate and burst
 * @param counting - window and tolerance
 * @returns the parameters
 */
export function bucketParametersOf (
  { perSecond, burst }: OperationLimit, { windowSeconds, tolerance }: LimitCounting
): BucketParameters {
  const declared = perSecond * windowSeconds + burst
  const factor = 1 + tolerance.part * CALLER_SHARE.ofPart
  const permitted = factor * declared + tolerance.operations * CALLER_SHARE.ofOperations
  const beyondGuarantee = permitted - GUARANTEED_SHARE * declared
  const margin = Math.min(beyondGuarantee * MARGIN.ofDepth, Math.max(MARGIN.share * declared, MARGIN.operations))
  const depth = Math.max(1, beyondGuarantee - margin)
  return {
    perSecond: Math.max(0, permitted - depth) / windowSeconds,
    depth,
    initial: Math.max(1, Math.min(burst, tolerance.operations * INITIAL_SHARE))
  }
}
