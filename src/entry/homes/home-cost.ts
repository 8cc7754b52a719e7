/**
 * What a statement is expected to wait at a home, in milliseconds, for comparing homes.
 *
 * Inputs: the load that the home reported last, and when; statements of this host in progress there; what its answers
 * took beyond their statements, in milliseconds, and when. Rule: the greater of reported load and own statements, times
 * {@link STATEMENT_COST_MS}, and the overhead. Both reports lose half of their weight in each half-life. Why: a home
 * that was busy must be tried again, or nothing new would be learned of it.
 */
import type { SeenHome } from './seen-homes.ts'

/** Half-life of the load that a home has reported, in milliseconds. */
export const LOAD_HALF_LIFE_MS = 200
/** Wait that one statement before the next one stands for, in milliseconds: about what one takes at an upstream. */
const STATEMENT_COST_MS = 10
/**
 * What an answer took beyond its statement shows how busy the home's processor is, which its load does not: hosts
 * differ in what share of a core they have, and in what else they do. The part that a new answer counts, and the
 * half-life of what was seen, in milliseconds: some answers, so that one slow answer moves little.
 */
export const OVERHEAD = { newPart: 0.3, halfLifeMs: 500 } as const

/**
 * Computes the cost of a home.
 *
 * @param home - what is known of it
 * @param upstream - where the statement is to run
 * @returns the cost, in milliseconds
 */
export function costOf (home: SeenHome, upstream: string): number {
  return loadOf(home, upstream) * STATEMENT_COST_MS + overheadOf(home)
}

/**
 * Records what an answer took beyond its statement.
 *
 * @param home - the home that answered
 * @param overheadMs - the time, in milliseconds
 */
export function recordOverhead (home: SeenHome, overheadMs: number): void {
  const meanMs = overheadOf(home) * (1 - OVERHEAD.newPart) + overheadMs * OVERHEAD.newPart
  home.overhead = { meanMs, at: performance.now() }
}

function loadOf ({ loads, inProgress }: SeenHome, upstream: string): number {
  const reported = loads.get(upstream)
  const reportedNow = reported === undefined ? 0 : decayed(reported.load, reported.at, LOAD_HALF_LIFE_MS)
  return Math.max(reportedNow, inProgress.get(upstream) ?? 0)
}

function overheadOf ({ overhead: { meanMs, at } }: SeenHome): number {
  return decayed(meanMs, at, OVERHEAD.halfLifeMs)
}

/** What is left of a value that loses half of its weight in each half-life. */
function decayed (value: number, seenAt: number, halfLifeMs: number): number {
  return value * 0.5 ** ((performance.now() - seenAt) / halfLifeMs)
}
