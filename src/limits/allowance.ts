/**
 * What a limit leaves to an organisation, as the one host that keeps the limit counts it: a token bucket that fills
 * with the limit's rate. In any span of time it grants no more than the rate times the span, and the burst.
 */
import type { OperationLimit } from '../ports/index.ts'
import { BEGINNING, FIRST_ALLOWANCE, STAY_AWAY_MS, UNASKED_MS } from './consts.ts'

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
   * @param limit - the limit in force
   * @param part - part of the limit that this host may grant, from 0 to 1: that of the hosts that it can see
   * @returns what was granted
   */
  grant: (wanted: number, limit: OperationLimit, part: number) => Grant
}

const SECOND_MS = 1000

/**
 * Creates the allowance of an organisation whose limit this host begins to keep.
 *
 * @returns the allowance; it is small at first
 */
export function createAllowance (): Allowance {
  const begunAt = performance.now()
  let level: number | undefined
  let filledAt = begunAt
  /** Time until which those who were refused have been told to stay away, each for one more operation. */
  let promisedUntil = begunAt

  const fill = ({ perSecond, burst }: OperationLimit, part: number): number => {
    const now = performance.now()
    const elapsedMs = now - filledAt
    filledAt = now
    if (level === undefined) {
      return Math.min(burst, FIRST_ALLOWANCE) * part
    }
    const pace = now - begunAt < BEGINNING.lastsMs ? BEGINNING.part : 1
    const filled = level + elapsedMs / SECOND_MS * perSecond * part * pace
    const most = elapsedMs > UNASKED_MS ? Math.min(burst, Math.max(FIRST_ALLOWANCE, level)) : burst
    return Math.min(filled, Math.max(most, 1))
  }
  /** Who is refused comes back one after the other, as fast as the limit fills. */
  const promise = (perSecond: number, missing: number): number => {
    const now = performance.now()
    const untilOneMs = perSecond > 0 ? Math.max(0, 1 - level!) / perSecond * SECOND_MS : STAY_AWAY_MS
    promisedUntil = Math.max(promisedUntil, now + untilOneMs)
    const retryAfterMs = Math.min(STAY_AWAY_MS, Math.ceil(promisedUntil - now))
    promisedUntil = Math.min(now + STAY_AWAY_MS, promisedUntil + (perSecond > 0 ? missing / perSecond * SECOND_MS : 0))
    return Math.max(1, retryAfterMs)
  }
  return {
    get left () { return Math.floor(level ?? 0) },
    grant: (wanted, limit, part) => {
      level = fill(limit, part)
      const granted = Math.min(wanted, Math.floor(level))
      level -= granted
      return { granted, retryAfterMs: granted < wanted ? promise(limit.perSecond * part, wanted - granted) : 0 }
    }
  }
}
