/** Tracks the need of every group, and acts on it after the delay that `group-need.ts` computes for this host. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Homes } from '../homes/index.ts'
import type { Registry } from '../registry/index.ts'
import { assessGroup, actionDelayMs, type AssessOptions, type GroupNeed } from './group-need.ts'

/** Pause between two actions of this host for the same group, in milliseconds. */
const RETRY_MS = 300

/** A need of a group, and when this host first observed it. */
export interface ObservedNeed {
  need: GroupNeed
  /** Epoch in which the need was observed, or 0 before the first epoch. */
  epoch: number
  since: number
}

/** Options of {@link createGroupWatch}. */
export interface GroupWatchOptions extends AssessOptions {
  registry: Pick<Registry, 'current' | 'self'>
  homes: Pick<Homes, 'of'>
  logger: Logger
  act: (group: string, observed: ObservedNeed) => Promise<void>
}

export interface GroupWatch {
  /** Assesses a group, and acts if its need has persisted long enough. */
  assess: (group: string) => void
  /** Current needs by group. */
  needs: () => Record<string, ObservedNeed>
}

/**
 * Creates the watch of all groups.
 *
 * @param options - the state of groups and upstreams, and the action
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { registry, directory, homes, logger, act } = options
  const needs = new Map<string, ObservedNeed>()
  const activeGroups = new Set<string>()

  /** Updates the need of a group; the same need in another epoch counts as new. */
  const observeNeed = (group: string): ObservedNeed | undefined => {
    const need = assessGroup(group, options)
    if (need === undefined) {
      needs.delete(group)
      return undefined
    }
    const epoch = registry.current.group(group).row?.epoch ?? 0
    const last = needs.get(group)
    const observed = last?.need === need && last.epoch === epoch ? last : { need, epoch, since: performance.now() }
    needs.set(group, observed)
    return observed
  }
  const homesOfPrimary = (group: string): string[] => {
    const primary = directory.get(registry.current.group(group).row?.primary ?? '')
    return primary === undefined ? [] : homes.of(primary).map(({ name }) => name)
  }
  return {
    needs: () => Object.fromEntries(needs),
    assess: (group) => {
      const observed = observeNeed(group)
      if (observed === undefined || activeGroups.has(group)) {
        return
      }
      const persistedMs = performance.now() - observed.since
      if (persistedMs === 0 || persistedMs < actionDelayMs(group, observed.need, registry, homesOfPrimary(group))) {
        return
      }
      activeGroups.add(group)
      act(group, observed)
        .catch((thrown: unknown) => logger.log('warn', 'failover.failed', { group, reason: describeThrown(thrown) }))
        .then(async () => await pause(RETRY_MS))
        .finally(() => activeGroups.delete(group))
    }
  }
}
