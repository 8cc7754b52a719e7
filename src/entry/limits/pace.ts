/**
 * Turns a limit into the pace of a token bucket. A limit allows its rate and its burst in every span of a given length,
 * and some more. A bucket that is full at the beginning of a span grants its depth and what flows in, so depth and flow
 * share what goes beyond the rate: half of it may be taken at once, and the other half comes with the flow, again in
 * each span.
 */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import type { OperationLimit } from '../ports/index.ts'

/** How limits are counted. */
export type LimitCounting = EntrySettings['limits']

/** How a host grants what a limit allows. */
export interface Pace {
  /** Operations a second in the long run. */
  perSecond: number
  /** Operations at a time. */
  depth: number
  /** Operations with which a host begins that cannot know what another has granted before. */
  first: number
}

/**
 * Parts of the tolerance that callers get. The rest is for the second or so in which hosts that were cut in two have
 * not noticed it, and a stand-in grants a quarter of the pace, which grows with the limit.
 */
const GIVEN = { ofPart: 0.25, ofOperations: 0.5 } as const
/** Part of the tolerance in operations that each beginning gets: two in one span stay within what callers don't get. */
const FIRST_PART = 0.25

/**
 * Returns the pace for a limit.
 *
 * @param limit - rate and burst
 * @param counting - how limits are counted
 * @returns the pace
 */
export function paceOf ({ perSecond, burst }: OperationLimit, { windowSeconds, tolerance }: LimitCounting): Pace {
  const factor = 1 + tolerance.part * GIVEN.ofPart
  const beyondRate = factor * burst + tolerance.operations * GIVEN.ofOperations
  return {
    perSecond: factor * perSecond + beyondRate / 2 / windowSeconds,
    depth: Math.max(1, beyondRate / 2),
    first: Math.max(1, Math.min(burst, tolerance.operations * FIRST_PART))
  }
}
