/**
 * How much of a limit is granted how fast: rate and depth of the token bucket for a limit.
 *
 * Inputs: the limit (operations a second, and at a time), the window in seconds and the tolerance (a part, and a number
 * of operations). Rule: a limit allows its rate and its burst in every window, and the tolerance on top. A bucket that
 * is full at the beginning of a window grants its depth and what flows in, so depth and flow share what goes beyond the
 * rate: half of it may be taken at once, and the other half comes with the flow, again in each window.
 */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import type { OperationLimit } from '../ports/index.ts'

/** How limits are counted. */
export type LimitCounting = EntrySettings['limits']

/** Rate and depth of a token bucket. */
export interface BucketParameters {
  /** Operations a second in the long run. */
  perSecond: number
  /** Operations at a time. */
  depth: number
  /** Operations in the bucket of a host that cannot know what another one has granted before. */
  first: number
}

/**
 * Parts of the tolerance that callers get. The rest is for the second or so in which hosts that were cut in two have
 * not noticed it, and for deputies, which grant a quarter of the rate.
 */
const GIVEN = { ofPart: 0.25, ofOperations: 0.5 } as const
/**
 * Part of the tolerance in operations that each new bucket gets. Two in one window stay within what callers don't get.
 */
const FIRST_PART = 0.25

/**
 * Computes the bucket for a limit.
 *
 * @param limit - rate and burst
 * @param counting - window and tolerance
 * @returns rate and depth of the bucket
 */
export function bucketParametersOf (
  { perSecond, burst }: OperationLimit, { windowSeconds, tolerance }: LimitCounting
): BucketParameters {
  const factor = 1 + tolerance.part * GIVEN.ofPart
  const beyondRate = factor * burst + tolerance.operations * GIVEN.ofOperations
  return {
    perSecond: factor * perSecond + beyondRate / 2 / windowSeconds,
    depth: Math.max(1, beyondRate / 2),
    first: Math.max(1, Math.min(burst, tolerance.operations * FIRST_PART))
  }
}
