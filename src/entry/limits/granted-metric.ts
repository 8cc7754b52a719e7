/** Which organisations the metric of granted operations names: those that were granted most. */
import type { OwnedLimit } from './limit-owner.ts'

/** Organisations that the metric names: each is a series of its own. */
const NAMED_IN_METRICS = 10

/**
 * Sums up what was granted.
 *
 * @param owned - the limits that this host owns, by organisation
 * @returns operations of those that were granted most, and of the others together
 */
export function grantedByOrganisation (owned: ReadonlyMap<string, OwnedLimit>): Record<string, number> {
  const sorted = [...owned].map(([name, { granted }]) => [name, granted] as const)
    .sort(([, left], [, right]) => right - left)
  const others = sorted.slice(NAMED_IN_METRICS).reduce((sum, [, granted]) => sum + granted, 0)
  return { ...Object.fromEntries(sorted.slice(0, NAMED_IN_METRICS)), others }
}
