/**
 * Computes rate and depth of the token bucket for a limit.
 *
 * In any window, callers may run the rate times the window, the burst, and a part of the tolerance. A bucket that is
 * full when a window begins grants its depth and its inflow, so what exceeds the plain rate is split in half: one half
 * becomes depth, the other is added to the rate.
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

/**
 * Fractions of the tolerance that are granted to callers. The rest covers operations granted twice: by both sides of a
 * partition until it is detected, and by fallback owners.
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
  const factor = 1 + tolerance.part * CALLER_SHARE.ofPart
  const excess = factor * burst + tolerance.operations * CALLER_SHARE.ofOperations
  return {
    perSecond: factor * perSecond + excess / 2 / windowSeconds,
    depth: Math.max(1, excess / 2),
    initial: Math.max(1, Math.min(burst, tolerance.operations * INITIAL_SHARE))
  }
}
