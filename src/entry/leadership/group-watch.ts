/** Watches every group, and acts once for each need when this host's turn has come; `group-need.ts` decides both. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Homes } from '../homes/index.ts'
import type { Registry } from '../registry/index.ts'
import { assessGroup, staggerOf, type AssessOptions, type GroupNeed } from './group-need.ts'

/** Pause of a host after it has acted on a group's need, in milliseconds. */
const RETRY_MS = 300

/** A need of a group, and since when this host has seen it. */
export interface ObservedNeed {
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
  /** Acts on what a group needs. */
  act: (group: string, observed: ObservedNeed) => Promise<void>
}

/** Watches groups. */
export interface GroupWatch {
  /** Assesses a group, and acts when its need has persisted long enough for this host. */
  consider: (group: string) => void
  needs: () => Record<string, ObservedNeed>
}

/**
 * Creates the watch.
 *
 * @param options - what is known, and what to do
 * @returns the watch
 */
export function createGroupWatch (options: GroupWatchOptions): GroupWatch {
  const { registry, directory, homes, logger, act } = options
  const needs = new Map<string, ObservedNeed>()
  const acting = new Set<string>()

  /** The current need; the same need in another epoch is a new one. */
  const observedNeed = (group: string): ObservedNeed | undefined => {
    const need = assessGroup(group, options)
    if (need === undefined) {
      needs.delete(group)
      return undefined
    }
    const epoch = registry.current.group(group).row?.epoch ?? 0
    const known = needs.get(group)
    const observed = known?.need === need && known.epoch === epoch ? known : { need, epoch, since: performance.now() }
    needs.set(group, observed)
    return observed
  }
  const homesOfPrimary = (group: string): string[] => {
    const primary = directory.get(registry.current.group(group).row?.primary ?? '')
    return primary === undefined ? [] : homes.of(primary).map(({ name }) => name)
  }
  return {
    needs: () => Object.fromEntries(needs),
    consider: (group) => {
      const observed = observedNeed(group)
      if (observed === undefined || acting.has(group)) {
        return
      }
      const persistedMs = performance.now() - observed.since
      if (persistedMs === 0 || persistedMs < staggerOf(group, observed.need, registry, homesOfPrimary(group))) {
        return
      }
      acting.add(group)
      act(group, observed)
        .catch((thrown: unknown) => logger.log('warn', 'failover.failed', { group, reason: describeThrown(thrown) }))
        .then(async () => await pause(RETRY_MS))
        .finally(() => acting.delete(group))
    }
  }
}
