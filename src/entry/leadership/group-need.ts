/**
 * Decides what a group needs, and how long this host leaves that to others.
 *
 * - Inputs: the group's row, its upstreams as the directory shows them, how long its primary has been unreachable from
 *   here (milliseconds), the live hosts, the holder of the promotion lease, and the homes of the primary.
 * - Rule for the need, the first that holds: no row, a closed row, a primary that is gone, that has started again, that
 *   is leaving, that does not claim to be one, or that has been unreachable for {@link UNREACHABLE_MS}.
 * - Rule for the turn: hosts are ordered by a hash of group and name, the holder of the promotion lease first; each
 *   waits {@link STAGGER_MS} for every host before it. For an unreachable primary its homes come first.
 * - Why: usually only one host acts, without agreement, and the next one takes over when that one does not.
 */
import { createHash } from 'node:crypto'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { Registry } from '../registry/index.ts'
import type { FailoverReason } from './types.ts'

/** Delay for each host that comes first, in milliseconds: so that the first one is usually the only one. */
const STAGGER_MS = 120
/** Time for which a primary must be unreachable before this host acts, in milliseconds. */
const UNREACHABLE_MS = 150

/** What a group needs. */
export type GroupNeed = 'first-primary' | FailoverReason

/** Options of {@link assessGroup}. */
export interface AssessOptions {
  registry: Pick<Registry, 'current'>
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'of'>
}

/**
 * What a group needs.
 *
 * @param group - the group
 * @param options - what is known
 * @returns the need; undefined when it needs nothing or too little is known
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
  if (primary.bornAt !== undefined && primary.bornAt > (row.primaryBornAt ?? Infinity)) {
    return 'reborn'
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

/** Least time for which a need must persist before any host acts on it, in milliseconds. */
const STANDING_MS: Partial<Record<GroupNeed, number>> = {
  // The row of a new primary changes when the promotion has taken effect, and may be late.
  deposed: 1500
}

/**
 * How long a need must have persisted before this host acts on it. Only homes of a primary notice that it cannot be
 * reached, so they come before all others then: of 71 hosts the first of six homes would have ten others before it.
 *
 * @param group - the group
 * @param need - what it needs
 * @param registry - the hosts, and who holds the promotion lease
 * @param homes - names of the homes of its primary
 * @returns the delay, in milliseconds
 */
export function staggerOf (
  group: string, need: GroupNeed, { current, self }: Pick<Registry, 'current' | 'self'>, homes: string[] = []
): number {
  const holder = current.promotionLease.row?.holder
  const order = (name: string): string => {
    const hash = name === holder ? '' : createHash('sha256').update(`${group} ${name}`).digest('hex')
    return need === 'unreachable' && !homes.includes(name) ? `others ${hash}` : hash
  }
  const own = order(self.name)
  return (STANDING_MS[need] ?? 0) + STAGGER_MS * current.liveHosts.filter(({ name }) => order(name) < own).length
}
