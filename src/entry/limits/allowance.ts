/**
 * What a limit leaves to an organisation, as the one host that keeps the limit counts it: a token bucket. In any span
 * of time it grants no more than its rate times the span, and its depth.
 */
import { STAY_AWAY_MS } from './consts.ts'
import type { Pace } from './pace.ts'

/** What was granted. */
export interface Grant {
  /** Operations that may be run. */
  granted: number
  /** Time after which one more may be asked for, in milliseconds; 0 when all that was asked for was granted. */
  retryAfterMs: number
}

/** What a limit leaves to one organisation. */
export interface Allowance {
  /** Operations that could be granted now. */
  readonly left: number
  /**
   * Grants operations.
   *
   * @param wanted - number of operations
   * @param pace - how the limit in force is granted
   * @param part - part of the pace at which this host may grant, from 0 to 1
   * @returns what was granted
   */
  grant: (wanted: number, pace: Pace, part: number) => Grant
}

const SECOND_MS = 1000

/**
 * Creates the allowance of an organisation whose limit this host begins to keep.
 *
 * @param isUnused - whether nothing can have been granted lately, by another host either; else it is small at first
 * @returns the allowance
 */
export function createAllowance (isUnused: boolean): Allowance {
  let level: number | undefined
  let filledAt = performance.now()
  /** Time until which those who were refused have been told to stay away, each for one more operation. */
  let promisedUntil = filledAt

  const fill = ({ perSecond, depth, first }: Pace, part: number): number => {
    const now = performance.now()
    const inflow = (now - filledAt) / SECOND_MS * perSecond * part
    filledAt = now
    return Math.min((level ?? (isUnused ? depth : first)) + inflow, depth * part)
  }
  /** Who is refused comes back one after the other, as fast as the limit fills. */
  const promise = (perSecond: number, missing: number): number => {
    const now = performance.now()
    const eachMs = perSecond > 0 ? SECOND_MS / perSecond : STAY_AWAY_MS
    promisedUntil = Math.max(promisedUntil, now + Math.max(0, 1 - level!) * eachMs)
    const retryAfterMs = Math.min(STAY_AWAY_MS, Math.ceil(promisedUntil - now))
    promisedUntil = Math.min(now + STAY_AWAY_MS, promisedUntil + missing * eachMs)
    return Math.max(1, retryAfterMs)
  }
  return {
    get left () { return Math.floor(level ?? 0) },
    grant: (wanted, pace, part) => {
      level = fill(pace, part)
      const granted = Math.min(wanted, Math.floor(level))
      level -= granted
      return { granted, retryAfterMs: granted < wanted ? promise(pace.perSecond * part, wanted - granted) : 0 }
    }
  }
}
