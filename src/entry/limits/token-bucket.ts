/**
 * Token bucket that enforces the limit of one organisation at its owner.
 *
 * It may be drawn below zero: an operation granted there has its turn when the inflow has made up for it. The turns of
 * the operations in any time span number at most the depth plus the rate times the span.
 */
import type { BucketParameters } from './bucket-parameters.ts'

/**
 * Furthest turn that is granted, in milliseconds: half of the longest target of the load this is designed for (1.2 s).
 * It bounds what hosts still run by the grants of an owner that was lost, beside the grants of the next one.
 */
export const MAXIMUM_TURN_MS = 600

const SECOND_MS = 1000

/** Token bucket of one organisation. */
export interface TokenBucket {
  /** Identifies this bucket among all that this host has created, also before a restart. */
  readonly id: number
  /** Level after the last change; negative while turns are outstanding. */
  readonly level: number
  /** Adds the inflow since the last call; returns the level. */
  fill: (parameters: BucketParameters, share: number) => number
  /**
   * Takes operations.
   *
   * @param operations - number of operations
   * @param perSecond - rate at which the bucket fills
   * @returns the turn of each operation, in milliseconds from now
   */
  take: (operations: number, perSecond: number) => number[]
  /** Credits operations that were taken and did not run; returns how many were credited. */
  credit: (operations: number) => number
}

let nextId = Math.floor(performance.timeOrigin)

/**
 * Creates the bucket of an organisation whose limit this host begins to own.
 *
 * @param startsFull - true when no host can have granted operations recently; otherwise the bucket starts with
 *   `initial` tokens
 * @param filledSince - time since when it has been filling, on the monotonic clock; now by default
 * @returns the bucket
 */
export function createTokenBucket (startsFull: boolean, filledSince = performance.now()): TokenBucket {
  const id = nextId++
  let level: number | undefined
  let filledAt = Math.min(filledSince, performance.now())
  /** Operations taken and not returned; no more than these can be credited. */
  let taken = 0

  return {
    id,
    get level () { return level ?? 0 },
    fill: ({ perSecond, depth, initial }, share) => {
      const now = performance.now()
      const inflow = (now - filledAt) / SECOND_MS * perSecond * share
      filledAt = now
      // Turns granted under a higher limit do not withhold the operations of a lower one for longer than a turn.
      const lowest = -perSecond * MAXIMUM_TURN_MS / SECOND_MS - 1
      level = Math.min(Math.max(lowest, level ?? (startsFull ? depth : initial)) + inflow, depth * share)
      return level
    },
    take: (operations, perSecond) => {
      const turnsMs: number[] = []
      for (let index = 0; index < operations; index++) {
        const missing = 1 - (level ?? 0)
        turnsMs.push(missing <= 0 ? 0 : Math.ceil(missing / perSecond * SECOND_MS))
        level = (level ?? 0) - 1
      }
      taken += operations
      return turnsMs
    },
    credit: (operations) => {
      const credited = Math.min(operations, taken)
      taken -= credited
      level = (level ?? 0) + credited
      return credited
    }
  }
}
