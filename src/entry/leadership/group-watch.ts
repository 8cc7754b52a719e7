/** Watches every group and decides when this host acts on what a group needs. */
import { createHash } from 'node:crypto'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Homes } from '../homes/index.ts'
import type { Pools } from '../pools/index.ts'
import type { Registry } from '../registry/index.ts'
import { RETRY_MS, STAGGER_MS, UNREACHABLE_MS } from './consts.ts'
import type { FailoverReason } from './types.ts'

/** What a group needs. */
type GroupNeed = 'first-primary' | FailoverReason

/** Options of {@link assessGroup}. */
interface AssessOptions {
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
function assessGroup (group: string, { registry, directory, pools }: AssessOptions): GroupNeed | undefined {
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

/** Least time for which a need must stand before anyone acts on it, in milliseconds. */
const STANDING_MS: Partial<Record<GroupNeed, number>> = {
  // The row of a new primary changes when the promotion has taken effect, and may be late.
  deposed: 1500
}

/**
 * Returns how long this host leaves a need to others that come before it. Only homes of a primary notice that it cannot
 * be reached, so they come before all others then: of 71 hosts the first of six homes would have ten others before it.
 *
 * @param group - the group
 * @param need - what it needs
 * @param registry - the hosts, and who holds the promotion lease
 * @param homes - names of the homes of its primary
 * @returns the delay, in milliseconds
 */
function staggerOf (
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

/** A need of a group, and since when this host has seen it. */
export interface StandingNeed {
  need: GroupNeed
  /** Epoch in which it arose; 0 before the first one. */
  epoch: number
  since: number
}

/** Options of {@link createGroupWatch}. */
export interface GroupWatchOptions extends AssessOptions {
  registry: Pick<Registry, 'current' | 'self'>
  homes: Pick<Homes, 'of'>
  logger: Logger
  /** Does what a group needs. */
  act: (group: string, standing: StandingNeed) => Promise<void>
}

/** Watches groups. */
export interface GroupWatch {
  /** Looks at a group, and acts when its need has stood long enough for this host. */
  consider: (group: string) => void
  needs: () => Record<string, StandingNeed>
}

/**
 * Creates the watch.
 *
 * @param options - what is known, and what to do
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { registry, directory, homes, logger, act } = options
  const needs = new Map<string, StandingNeed>()
  const acting = new Set<string>()

  /** The need as it stands; a need of another epoch is a new one. */
  const standingNeed = (group: string): StandingNeed | undefined => {
    const need = assessGroup(group, options)
    if (need === undefined) {
      needs.delete(group)
      return undefined
    }
    const epoch = registry.current.group(group).row?.epoch ?? 0
    const known = needs.get(group)
    const standing = known?.need === need && known.epoch === epoch ? known : { need, epoch, since: performance.now() }
    needs.set(group, standing)
    return standing
  }
  const homesOfPrimary = (group: string): string[] => {
    const primary = directory.get(registry.current.group(group).row?.primary ?? '')
    return primary === undefined ? [] : homes.of(primary).map(({ name }) => name)
  }
  return {
    needs: () => Object.fromEntries(needs),
    consider: (group) => {
      const standing = standingNeed(group)
      if (standing === undefined || acting.has(group)) {
        return
      }
      const stoodMs = performance.now() - standing.since
      if (stoodMs === 0 || stoodMs < staggerOf(group, standing.need, registry, homesOfPrimary(group))) {
        return
      }
      acting.add(group)
      act(group, standing)
        .catch((thrown: unknown) => logger.log('warn', 'failover.failed', { group, reason: describeThrown(thrown) }))
        .then(async () => await pause(RETRY_MS))
        .finally(() => acting.delete(group))
    }
  }
}
