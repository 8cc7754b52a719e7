/** Positions in the log of a database group. */
import * as z from 'zod'

/** A place in a group's log: the term of the record and its position. */
export const logPositionSchema = z.object({
  term: z.number().int().nonnegative(),
  position: z.number().int().nonnegative()
})

/** A place in a group's log. */
export type LogPosition = z.infer<typeof logPositionSchema>

/** An upstream on which a session has read. */
const seenUpstreamSchema = z.object({
  upstream: z.string(),
  /** Identity of the database behind the name; another one may hold less. */
  incarnation: z.string()
})

/**
 * What a session has seen: at least a place in the log, and whatever the named upstreams held when it read from them.
 * How far that was is asked only when the session goes to another upstream.
 */
export const sessionFloorSchema = logPositionSchema.extend({ seenOn: z.array(seenUpstreamSchema).default([]) })

/** An upstream on which a session has read. */
export type SeenUpstream = z.infer<typeof seenUpstreamSchema>
/** What a session has seen. */
export type SessionFloor = z.infer<typeof sessionFloorSchema>

/** Before every record. */
export const LOG_START: LogPosition = { term: 0, position: 0 }

/** What a new session has seen. */
export const NOTHING_SEEN: SessionFloor = { ...LOG_START, seenOn: [] }

/**
 * Joins what was seen on two ways.
 *
 * @param left - one floor
 * @param right - the other
 * @returns a floor that covers both
 */
export function joinFloors (left: SessionFloor, right: SessionFloor): SessionFloor {
  const known = new Set(left.seenOn.map(({ upstream, incarnation }) => `${upstream} ${incarnation}`))
  const more = right.seenOn.filter(({ upstream, incarnation }) => !known.has(`${upstream} ${incarnation}`))
  return { ...laterPosition(left, right), seenOn: [...left.seenOn, ...more] }
}

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
  const { term, position } = comparePositions(left, right) >= 0 ? left : right
  return { term, position }
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

/**
 * Formats a place for logs.
 *
 * @param place - the place
 * @returns `term.position`; undefined for none
 */
export function formatPosition (place: LogPosition | undefined): string | undefined {
  return place === undefined ? undefined : `${place.term}.${place.position}`
}
