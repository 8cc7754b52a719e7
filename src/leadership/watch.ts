/** Watches every group and decides when this host acts on what a group needs. */
import { createHash } from 'node:crypto'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { Registry } from '../registry/index.ts'
import { STAGGER_MS, UNREACHABLE_MS } from './consts.ts'
import type { SuccessionReason } from './types.ts'

/** What a group needs. */
export type GroupNeed = 'first-primary' | SuccessionReason

/** Options of {@link assessGroup}. */
export interface AssessOptions {
  registry: Pick<Registry, 'current'>
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'of'>
}

/**
 * Says what a group needs.
 *
 * @param group - the group
 * @param options - what is known
 * @returns the need; undefined when all is well or too little is known
 */
export function assessGroup (group: string, { registry, directory, pools }: AssessOptions): GroupNeed | undefined {
  const { row } = registry.current.group(group)
  if (directory.ofGroup(group).length === 0) {
    return undefined
  }
  if (row === undefined) {
    return 'first-primary'
  }
  if (row.state === 'closed') {
    return 'unfinished'
  }
  const primary = directory.get(row.primary)
  if (primary === undefined) {
    return 'gone'
  }
  if (primary.draining) {
    return 'draining'
  }
  if (!primary.claimsPrimary) {
    return 'deposed'
  }
  const { unreachableSince } = pools.of(primary).health
  const unreachable = unreachableSince !== undefined && performance.now() - unreachableSince >= UNREACHABLE_MS
  return unreachable ? 'unreachable' : undefined
}

/** Least time for which a need must stand before anyone acts on it, in milliseconds. */
const STANDING_MS: Partial<Record<GroupNeed, number>> = {
  // The row of a new primary changes when the promotion has taken effect, and may be late.
  deposed: 1500
}

/**
 * Returns how long this host leaves a need to others that come before it.
 *
 * @param group - the group
 * @param need - what it needs
 * @param registry - the hosts, and who holds the duty
 * @returns the delay, in milliseconds
 */
export function staggerOf (
  group: string, need: GroupNeed, { current, self }: Pick<Registry, 'current' | 'self'>
): number {
  const holder = current.duty.row?.holder
  const order = (name: string): string =>
    name === holder ? '' : createHash('sha256').update(`${group} ${name}`).digest('hex')
  const own = order(self.name)
  return (STANDING_MS[need] ?? 0) + STAGGER_MS * current.liveHosts.filter(({ name }) => order(name) < own).length
}
