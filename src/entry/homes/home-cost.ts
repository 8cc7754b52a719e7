/**
 * Expected wait for a statement at a home, in milliseconds, used to compare homes.
 *
 * The cost is the load, which is the greater of the reported load and this host's own statements in progress, divided
 * by the home's share of the upstream's statements and times {@link STATEMENT_COST_MS}, plus the average overhead of
 * answers. Reported load and overhead decay over time, so that a home that was busy is tried again.
 */
import type { HomeState } from './seen-homes.ts'

/** Half-life of the load that a home has reported, in milliseconds. */
export const LOAD_HALF_LIFE_MS = 200
/** Typical execution time of a statement at an upstream, in milliseconds: the wait for each statement ahead. */
const STATEMENT_COST_MS = 10
/**
 * Moving average of the overhead, the time that answers take beyond the statement itself. It shows how busy the home's
 * processor is, which its load does not. `newWeight` is the weight of a new value, from 0 to 1.
 */
export const OVERHEAD_AVERAGE = { newWeight: 0.3, halfLifeMs: 500 } as const

/**
 * Computes the cost of a home.
 *
 * @param home - state of the home
 * @param upstream - the upstream that executes the statement
 * @param share - the home's share of the upstream's statements, 1 on average; it grows with the home's capacity
 * @returns the cost, in milliseconds
 */
export function costOf (home: HomeState, upstream: string, share: number): number {
  return loadOf(home, upstream) / share * STATEMENT_COST_MS + overheadOf(home)
}

/**
 * Adds the overhead of an answer to the moving average.
 *
 * @param home - state of the home that answered
 * @param overheadMs - time that the answer took beyond the statement itself, in milliseconds
 */
export function recordOverhead (home: HomeState, overheadMs: number): void {
  const meanMs = overheadOf(home) * (1 - OVERHEAD_AVERAGE.newWeight) + overheadMs * OVERHEAD_AVERAGE.newWeight
  home.overhead = { meanMs, at: performance.now() }
}

/**
 * Returns how long a statement would wait at a home according to its last report, which decays.
 *
 * @param home - state of the home
 * @param upstream - the upstream that executes the statement
 * @param priority - priority of the statement; a report on less urgent statements does not apply
 * @returns the wait, in milliseconds; 0 if it is less than one or unknown
 */
export function reportedWaitOf ({ loads }: HomeState, upstream: string, priority: number): number {
  const reported = loads.get(upstream)
  if (reported === undefined || reported.waitMs === 0 || priority < reported.priority) {
    return 0
  }
  const waitMs = decayed(reported.waitMs, reported.at, LOAD_HALF_LIFE_MS)
  return waitMs < 1 ? 0 : waitMs
}

function loadOf ({ loads, inProgress }: HomeState, upstream: string): number {
  const reported = loads.get(upstream)
  const reportedNow = reported === undefined ? 0 : decayed(reported.load, reported.at, LOAD_HALF_LIFE_MS)
  return Math.max(reportedNow, inProgress.get(upstream) ?? 0)
}

function overheadOf ({ overhead: { meanMs, at } }: HomeState): number {
  return decayed(meanMs, at, OVERHEAD_AVERAGE.halfLifeMs)
}

/** Applies exponential decay to a value recorded at a time. */
function decayed (value: number, recordedAt: number, halfLifeMs: number): number {
  return value * 0.5 ** ((performance.now() - recordedAt) / halfLifeMs)
}
