/** Limits the number of series of the metric of granted operations. */
import type { OwnedLimit } from './limit-owner.ts'

/** Number of organisations that have a series of their own. */
const MAXIMUM_NAMED_ORGANISATIONS = 10

/**
 * Computes the values of the metric.
 *
 * @param owned - the limits that this host owns, by organisation
 * @returns granted operations of the organisations with the most grants, and the sum for all `others`
 */
export function grantedByOrganisation (owned: ReadonlyMap<string, OwnedLimit>): Record<string, number> {
  const sorted = [...owned].map(([name, { granted }]) => [name, granted] as const)
    .sort(([, left], [, right]) => right - left)
  const others = sorted.slice(MAXIMUM_NAMED_ORGANISATIONS).reduce((sum, [, granted]) => sum + granted, 0)
  return { ...Object.fromEntries(sorted.slice(0, MAXIMUM_NAMED_ORGANISATIONS)), others }
}
