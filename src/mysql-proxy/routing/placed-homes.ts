/**
 * The open homes of this process. A home opens with the first request for its group, and closes when the group is
 * removed, or when the group is placed on other processes and the home is idle.
 */
import type { Group } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Configuration } from '../configuration/index.ts'
import type { GroupHome } from './group-home.ts'

/** Interval of the check for homes whose groups have moved to other processes, in milliseconds. */
const RELEASE_CHECK_INTERVAL_MS = 1000
/** Interval at which a stopping process polls for homes that are still active, in milliseconds. */
const IDLE_POLL_INTERVAL_MS = 10

/** Options of {@link createPlacedHomes}. */
interface PlacedHomesOptions {
  configuration: Pick<Configuration, 'group' | 'versions'>
  isPlacedHere: (group: string) => boolean
  /** Opens the home of a group. */
  open: (name: string, group: Group) => GroupHome
}

/** Open homes of this process. */
interface PlacedHomes {
  readonly byGroup: Map<string, GroupHome>
  /**
   * Returns the home of a group, opening it if necessary.
   *
   * @param name - name of the group
   * @throws RequestError `UnknownGroup`
   */
  homeOf: (name: string) => GroupHome
  /** Applies a changed declaration to an open home; null closes it. */
  update: (name: string, group: Group | null) => void
  /** Opens all groups placed on this process and refreshes the status of their upstreams, for display to operators. */
  openPlacedGroups: () => Promise<void>
  /** Waits until no home is active, for at most `timeoutMs` milliseconds. */
  waitUntilIdle: (timeoutMs: number) => Promise<void>
  close: () => void
}

/**
 * Creates the set of homes of this process, initially empty.
 *
 * @param options - declarations, placement and a function that opens a home
 * @returns the homes
 */
export function createPlacedHomes ({ configuration, isPlacedHere, open }: PlacedHomesOptions): PlacedHomes {
  const byGroup = new Map<string, GroupHome>()

  const homeOf = (name: string): GroupHome => {
    const existing = byGroup.get(name)
    if (existing !== undefined) {
      return existing
    }
    const group = configuration.group(name)
    if (group === undefined) {
      throw new RequestError('not-run', 'UnknownGroup', { group: name })
    }
    const home = open(name, group)
    byGroup.set(name, home)
    return home
  }

  const closeUnplacedHomes = (): void => {
    for (const [name, home] of byGroup) {
      if (!isPlacedHere(name) && home.activeCount === 0) {
        home.close()
        byGroup.delete(name)
      }
    }
  }
  const timer = setInterval(closeUnplacedHomes, RELEASE_CHECK_INTERVAL_MS)
  timer.unref()

  return {
    byGroup,
    homeOf,
    update: (name, group) => {
      const home = byGroup.get(name)
      if (group === null) {
        home?.close()
        byGroup.delete(name)
        return
      }
      home?.update(group)
    },
    openPlacedGroups: async () => {
      const names = configuration.versions().filter(({ group }) => group !== null).map(({ name }) => name)
      await Promise.all(names.filter(isPlacedHere).map(async (name) => await homeOf(name).view.refreshAndWait()))
    },
    waitUntilIdle: async (timeoutMs) => {
      const until = performance.now() + timeoutMs
      while ([...byGroup.values()].some((home) => home.activeCount > 0) && performance.now() < until) {
        await pause(IDLE_POLL_INTERVAL_MS)
      }
    },
    close: () => {
      clearInterval(timer)
      byGroup.forEach((home) => home.close())
    }
  }
}
