/** Positions in the replication log of a database group, and session floors, which are built from them. */
import * as z from 'zod'

/** Position in a group's log: the term of a record, and its number. */
export const logPositionSchema = z.object({
  term: z.number().int().nonnegative(),
  position: z.number().int().nonnegative()
})

/** Position in a group's log. */
export type LogPosition = z.infer<typeof logPositionSchema>

/** An upstream that a session has read from. */
const seenUpstreamSchema = z.object({
  upstream: z.string(),
  /** Identity of the database instance behind the name; a replacement may lack records that the session has read. */
  incarnation: z.string()
})

/**
 * Floor of a session: the least state that its reads must observe. It consists of a log position and of the upstreams
 * that the session has read from, whose positions are queried only when the session moves to another upstream.
 */
export const sessionFloorSchema = logPositionSchema.extend({ seenOn: z.array(seenUpstreamSchema).default([]) })

/** An upstream that a session has read from. */
export type SeenUpstream = z.infer<typeof seenUpstreamSchema>
/** Floor of a session. */
export type SessionFloor = z.infer<typeof sessionFloorSchema>

/** Position before the first record. */
export const LOG_START: LogPosition = { term: 0, position: 0 }

/** Floor of a new session. */
export const NOTHING_SEEN: SessionFloor = { ...LOG_START, seenOn: [] }

/**
 * Merges two floors.
 *
 * @param left - one floor
 * @param right - the other floor
 * @returns the least floor that covers both
 */
export function joinFloors (left: SessionFloor, right: SessionFloor): SessionFloor {
  const knownUpstreams = new Set(left.seenOn.map(({ upstream, incarnation }) => `${upstream} ${incarnation}`))
  const added = right.seenOn.filter(({ upstream, incarnation }) => !knownUpstreams.has(`${upstream} ${incarnation}`))
  return { ...laterPosition(left, right), seenOn: [...left.seenOn, ...added] }
}

/**
 * Compares two positions by term, then by number.
 *
 * @param left - one position
 * @param right - the other position
 * @returns a negative number, zero or a positive number, as for `Array.sort`
 */
export function comparePositions (left: LogPosition, right: LogPosition): number {
  return left.term - right.term || left.position - right.position
}

/**
 * Checks whether a log contains everything acknowledged up to a position.
 *
 * @param end - position of the end of the log
 * @param floor - position that the log must have reached
 * @returns whether it has
 */
export function meetsFloor (end: LogPosition, floor: LogPosition): boolean {
  return comparePositions(end, floor) >= 0
}

/**
 * Returns the later of two positions.
 *
 * @param left - one position
 * @param right - the other position
 * @returns a copy of the later one, without other fields
 */
export function laterPosition (left: LogPosition, right: LogPosition): LogPosition {
  const { term, position } = comparePositions(left, right) >= 0 ? left : right
  return { term, position }
}

/**
 * Computes the smallest majority.
 *
 * @param upstreams - number of upstreams
 * @returns number of upstreams in the smallest majority
 */
export function majorityOf (upstreams: number): number {
  return Math.floor(upstreams / 2) + 1
}

/**
 * Formats a position for logs.
 *
 * @param position - the position
 * @returns `term.position`; undefined when there is no position
 */
export function formatPosition (position: LogPosition | undefined): string | undefined {
  return position === undefined ? undefined : `${position.term}.${position.position}`
}
