/**
 * Decides what a group needs, and how long this host waits before it acts. Hosts are ordered by a hash of the group and
 * their name, with the holder of the promotion lease first, and each waits {@link STAGGER_MS} for every host before it.
 * Usually only the first host acts, without coordination, and the next one takes over if the first fails.
 */
import { createHash } from 'node:crypto'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { GroupRow, Registry } from '../registry/index.ts'
import type { FailoverReason } from './types.ts'

/** Delay for each host that comes before this one, in milliseconds. */
const STAGGER_MS = 120
/** Time for which a primary must be unreachable to be replaced, in milliseconds. */
const UNREACHABLE_AFTER_MS = 150

/** Action that a group needs: its first primary, or a failover for a reason. */
export type GroupNeed = 'first-primary' | FailoverReason

/** Options of {@link assessGroup}. */
export interface AssessOptions {
  registry: Pick<Registry, 'current'>
  directory: Pick<Directory, 'get' | 'ofGroup' | 'isGone'>
  pools: Pick<Pools, 'of'>
}

/**
 * Determines what a group needs; the first condition that holds decides.
 *
 * @param group - the group
 * @param options - registry, directory and health of the upstreams
 * @returns the need, or undefined if there is none or no upstream of the group is known
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
    // A process that has just started may not know the primary, whose row can be missing after an outage of the store.
    return directory.isGone(row.primary) ? 'gone' : undefined
  }
  if (isReborn(primary, row)) {
    return 'reborn'
  }
  if (primary.draining) {
    return 'draining'
  }
  if (!primary.claimsPrimary) {
    return 'deposed'
  }
  const { unreachableSince } = pools.of(primary).health
  const unreachable = unreachableSince !== undefined && performance.now() - unreachableSince >= UNREACHABLE_AFTER_MS
  return unreachable ? 'unreachable' : undefined
}

/**
 * Whether a primary has started again since it became one, without the log that it had.
 *
 * @param primary - the upstream as the directory knows it
 * @param row - the group's row
 * @returns whether it has
 */
export function isReborn ({ bornAt }: Pick<KnownUpstream, 'bornAt'>, { primaryBornAt }: GroupRow): boolean {
  return bornAt !== undefined && bornAt > (primaryBornAt ?? Infinity)
}

/** Minimum time for which a need must persist before any host acts, in milliseconds. */
const MINIMUM_PERSISTENCE_MS: Partial<Record<GroupNeed, number>> = {
  // The row of a new primary is updated after its promotion, possibly with a delay.
  deposed: 1500
}

/**
 * Returns how long a need must persist before this host acts. The homes of an unreachable primary come first, since
 * only they notice that it cannot be reached; of 71 hosts, the first of six homes would wait for ten others.
 *
 * @param group - the group
 * @param need - what it needs
 * @param registry - the live hosts and the holder of the promotion lease
 * @param homes - names of the homes of the group's primary
 * @returns the delay, in milliseconds
 */
export function actionDelayMs (
  group: string, need: GroupNeed, { current, self }: Pick<Registry, 'current' | 'self'>, homes: string[] = []
): number {
  const holder = current.promotionLease.row?.holder
  const sortKey = (name: string): string => {
    const hash = name === holder ? '' : createHash('sha256').update(`${group} ${name}`).digest('hex')
    return need === 'unreachable' && !homes.includes(name) ? `others ${hash}` : hash
  }
  const ownKey = sortKey(self.name)
  return (MINIMUM_PERSISTENCE_MS[need] ?? 0) +
    STAGGER_MS * current.liveHosts.filter(({ name }) => sortKey(name) < ownKey).length
}
