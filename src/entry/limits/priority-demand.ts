/**
 * Recent demand of each priority of an organisation, and what it means for the grants of the others: down to which
 * level of the bucket a priority may take operations, and the floor that keeps it from starving.
 *
 * Designed for an organisation that asks for many times its rate, with up to {@link MAXIMUM_PRIORITIES} priorities.
 */
import type { BucketParameters } from './bucket-parameters.ts'
import type { PriorityRequest } from './limit-frames.ts'
import { MAXIMUM_TURN_MS } from './token-bucket.ts'

/** Number of priorities that are told apart; less urgent ones share the last. Floors add up to half of the rate. */
const MAXIMUM_PRIORITIES = 10
/** Half-life of the count of requested operations, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 500
/**
 * Time of the recent demand of more urgent priorities for which operations are reserved, in milliseconds. One more is
 * reserved, since the demand of a small limit within this time is a fraction of an operation.
 */
const RESERVED_MS = 50
/** Largest part of the depth that is reserved, so that an idle bucket always has operations above the reserve. */
const MAXIMUM_RESERVED_SHARE = 0.5
/**
 * Part of the wait of a more urgent priority that the turns of a less urgent one may take up while the organisation
 * stays below its rate. The rest of its wait is left for operations of its own priority.
 */
const TURN_SHARE = 0.5
/** Time for which the wait of a priority that has stopped asking still bounds the turns of others, in milliseconds. */
const WAIT_MEMORY_MS = 10_000
/** Part of the rate that each priority that asks gets at least. */
const FLOOR_SHARE = 0.05
/** Time for which an unused floor accumulates, in milliseconds; at least one operation does. */
const FLOOR_MEMORY_MS = 400
/**
 * Time for which operations are left for the floor of a priority that has stopped asking, in milliseconds. It exceeds
 * the 0.4 s for which a host refuses a priority without asking.
 */
const FLOOR_CLAIM_MS = 1000

const SECOND_MS = 1000

/** Demand of one priority. */
interface PriorityDemand {
  /** Exponentially decayed number of requested operations. */
  count: number
  askedAt: number
  maximumWaitMs: number
  /** Operations of the floor that it has not used. */
  floorLeft: number
}

/** Demand of an organisation. */
export interface PriorityDemands {
  /** Records the operations that a priority requests. */
  record: (request: PriorityRequest, perSecond: number) => void
  /**
   * Lowest level to which the operations of a priority may draw the bucket.
   *
   * @param request - the priority and the wait of its operations
   * @param parameters - rate and depth of the bucket
   * @param share - fraction of them that this host may grant
   * @returns the level, in operations; negative where operations wait for their turns
   */
  lowestLevel: (request: PriorityRequest, parameters: BucketParameters, share: number) => number
  /** Rate that more urgent priorities leave to a priority, in operations per second. */
  rateLeft: (priority: number, perSecond: number) => number
  /** Operations of the floor that a priority may take. */
  floorOf: (priority: number) => number
  /** Counts granted operations towards the floor. */
  countGranted: (priority: number, granted: number) => void
}

/**
 * Computes the lowest level that the wait of operations permits.
 *
 * @param maximumWaitMs - longest wait, in milliseconds
 * @param perSecond - rate at which the bucket fills
 * @returns the level, 0 or less
 */
export function levelForWait (maximumWaitMs: number, perSecond: number): number {
  return -Math.min(MAXIMUM_TURN_MS, maximumWaitMs) / SECOND_MS * perSecond
}

/** Maps a priority to the one under which it is counted. */
export function countedPriority (priority: number): number {
  return Math.min(priority, MAXIMUM_PRIORITIES - 1)
}

/** Recent rate of a priority, in operations per second. */
function rateOf ({ count, askedAt }: PriorityDemand, now: number): number {
  return count * 0.5 ** ((now - askedAt) / DEMAND_HALF_LIFE_MS) * Math.LN2 / DEMAND_HALF_LIFE_MS * SECOND_MS
}

/**
 * Creates the demand of an organisation that has not asked yet.
 *
 * @returns the demand
 */
export function createPriorityDemands (): PriorityDemands {
  const demands = new Map<number, PriorityDemand>()

  /** Sums the recent rate of priorities from 0 up to a priority, which is not included. */
  const rateBefore = (priority: number): number => {
    const now = performance.now()
    let sum = 0
    demands.forEach((demand, other) => { sum += other < priority ? rateOf(demand, now) : 0 })
    return sum
  }
  /** Shortest wait of the more urgent priorities that have asked; undefined for none. */
  const shortestWaitBefore = (priority: number): number | undefined => {
    const since = performance.now() - WAIT_MEMORY_MS
    let shortest: number | undefined
    demands.forEach(({ maximumWaitMs, askedAt }, other) => {
      if (other < priority && askedAt >= since) {
        shortest = Math.min(shortest ?? maximumWaitMs, maximumWaitMs)
      }
    })
    return shortest
  }
  /**
   * Lowest level at which each less urgent priority can still take its floor within its own wait; -Infinity for none.
   * Without this bound a priority with a shorter wait than a more urgent one got nothing at all.
   */
  const levelForFloorsAfter = (priority: number, perSecond: number): number => {
    const since = performance.now() - FLOOR_CLAIM_MS
    let lowest = -Infinity
    demands.forEach(({ maximumWaitMs, askedAt, floorLeft }, other) => {
      if (other > priority && askedAt >= since) {
        lowest = Math.max(lowest, levelForWait(maximumWaitMs, perSecond) + Math.floor(floorLeft))
      }
    })
    return lowest
  }
  return {
    record: ({ priority, wanted, maximumWaitMs }, perSecond) => {
      const now = performance.now()
      const before = demands.get(priority) ?? { count: 0, askedAt: now, maximumWaitMs: 0, floorLeft: 1 }
      const elapsedMs = now - before.askedAt
      const floorDepth = Math.max(1, FLOOR_SHARE * perSecond * FLOOR_MEMORY_MS / SECOND_MS)
      demands.set(priority, {
        count: before.count * 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS) + wanted,
        askedAt: now,
        maximumWaitMs,
        floorLeft: Math.min(floorDepth, before.floorLeft + FLOOR_SHARE * perSecond * elapsedMs / SECOND_MS)
      })
    },
    lowestLevel: ({ priority, maximumWaitMs }, { perSecond, depth }, share) => {
      const largest = Math.max(0, depth * share - 1) * MAXIMUM_RESERVED_SHARE
      const forFloors = Math.min(largest, levelForFloorsAfter(priority, perSecond * share))
      const own = Math.max(levelForWait(maximumWaitMs, perSecond * share), forFloors)
      const urgentWaitMs = shortestWaitBefore(priority)
      if (urgentWaitMs === undefined) {
        return own
      }
      const reserved = Math.min(largest, 1 + Math.ceil(rateBefore(priority) * RESERVED_MS / SECOND_MS))
      const isOverloaded = rateBefore(Infinity) > perSecond * share
      const turns = isOverloaded ? 0 : levelForWait(urgentWaitMs * TURN_SHARE, perSecond * share)
      return Math.max(own, turns + reserved)
    },
    rateLeft: (priority, perSecond) => Math.max(FLOOR_SHARE * perSecond, perSecond - rateBefore(priority)),
    floorOf: (priority) => Math.floor(demands.get(priority)?.floorLeft ?? 0),
    countGranted: (priority, granted) => {
      const demand = demands.get(priority)
      if (demand !== undefined) {
        demand.floorLeft = Math.max(0, demand.floorLeft - granted)
      }
    }
  }
}
