/** Positions in the log of a database group. */
import { z } from 'zod'

/** A place in a group's log: the term of the record and its position. */
export const logPositionSchema = z.object({
  term: z.number().int().nonnegative(),
  position: z.number().int().nonnegative()
})

/** A place in a group's log. */
export type LogPosition = z.infer<typeof logPositionSchema>

/** Before every record. */
export const LOG_START: LogPosition = { term: 0, position: 0 }

/**
 * Compares two places: the term first, then the position.
 *
 * @param left - one place
 * @param right - the other
 * @returns negative, zero or positive, as for sorting
 */
export function comparePositions (left: LogPosition, right: LogPosition): number {
  return left.term - right.term || left.position - right.position
}

/**
 * Says whether a log that ends at a place contains everything acknowledged up to another.
 *
 * @param end - where the log ends
 * @param floor - what it must contain
 * @returns whether it does
 */
export function meetsFloor (end: LogPosition, floor: LogPosition): boolean {
  return comparePositions(end, floor) >= 0
}

/**
 * Returns the later of two places.
 *
 * @param left - one place
 * @param right - the other
 * @returns the later one
 */
export function laterPosition (left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right
}

/**
 * Returns how many of a number of upstreams are a majority.
 *
 * @param upstreams - the number
 * @returns the smallest majority
 */
export function majorityOf (upstreams: number): number {
  return Math.floor(upstreams / 2) + 1
}
