/** Orders the requests of a session at the return of all hosts; `return-queue.ts` decides. */
import type { CallerLink, CallerStatement, DesiredState } from '../ports/index.ts'
import type { ReturnQueue } from './return-queue.ts'
import type { StatementCosts } from './statement-costs.ts'
import { IN_PROGRESS_PER_SLOT } from '../pools/index.ts'
import { WAIT_SHARE } from './wait-rules.ts'

/** Least number of requests that a host runs at a time at the return. */
const MINIMUM_PLACES = 4

/** Statements that begin work at an upstream, outside of a transaction. */
const ORDERED_TYPES: ReadonlySet<CallerStatement['type']> = new Set(['begin', 'data', 'execute'])

/** Options of {@link waitAtReturn}. */
interface ReturnOptions {
  queue: Pick<ReturnQueue, 'isOrdering' | 'enter'>
  costs: Pick<StatementCosts, 'of'>
  link: Pick<CallerLink, 'database'>
  desiredState: () => DesiredState | undefined
  /** When the request arrived, on the monotonic clock, in milliseconds. */
  arrivedAt: number
}

/**
 * Returns how many requests a host may run at a time at the return: its part of the slots, and as many on their way.
 *
 * @param slots - slots of all upstreams
 * @param hosts - number of hosts
 * @returns the number
 */
export function placesAtReturn (slots: number, hosts: number): number {
  return Math.max(MINIMUM_PLACES, Math.ceil(slots * IN_PROGRESS_PER_SLOT / Math.max(1, hosts)))
}

/**
 * Waits for the turn of a request.
 *
 * @param statement - the statement
 * @param options - the queue, and what is known of the caller
 * @returns a function to call when the request has ended
 * @throws RequestError `Overloaded` with verdict `not-run`
 */
export async function waitAtReturn (
  { type }: Pick<CallerStatement, 'type'>, { queue, costs, link: { database }, desiredState, arrivedAt }: ReturnOptions
): Promise<() => void> {
  const route = desiredState()?.routes.get(database)
  if (route === undefined || !ORDERED_TYPES.has(type)) {
    return () => {}
  }
  const elapsedMs = performance.now() - arrivedAt
  return await queue.enter({
    group: route.group,
    priority: route.priority,
    costMs: costs.of(database),
    dueInMs: route.targetMs - elapsedMs,
    waitMs: Math.max(1, route.timeoutMs * WAIT_SHARE - elapsedMs),
    maximumRetryMs: route.timeoutMs
  })
}
