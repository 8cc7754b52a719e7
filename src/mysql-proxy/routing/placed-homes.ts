/**
 * The groups that this process is a home to. Owns the homes: one opens with the first request for its group, and closes
 * when the group is removed, or when it is placed elsewhere and idle.
 */
import type { Group } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Configuration } from '../configuration/index.ts'
import type { GroupHome } from './group-home.ts'

/** Time between two checks for groups that are no longer placed here, in milliseconds. */
const RELEASE_MS = 1000
/** Pause between two checks whether everything in flight is done, in milliseconds. */
const DRAIN_POLL_MS = 10

/** Options of {@link createPlacedHomes}. */
interface PlacedHomesOptions {
  configuration: Pick<Configuration, 'group' | 'versions'>
  isPlacedHere: (group: string) => boolean
  /** Opens the home of a group. */
  open: (name: string, group: Group) => GroupHome
}

/** Homes of this process. */
interface PlacedHomes {
  readonly byGroup: Map<string, GroupHome>
  /**
   * Returns the home of a group, and opens it if it is not open.
   *
   * @param name - the group
   * @throws RequestError `UnknownGroup`
   */
  homeOf: (name: string) => GroupHome
  /** Takes a changed group over; null when it was removed. */
  update: (name: string, group: Group | null) => void
  /** Opens all groups that are placed here, and asks their upstreams, so that their state can be shown. */
  openPlaced: () => Promise<void>
  /** Waits until nothing is in progress, for `timeoutMs` milliseconds at most. */
  waitUntilIdle: (timeoutMs: number) => Promise<void>
  close: () => void
}

/**
 * Creates the homes of this process, none open.
 *
 * @param options - placement, declarations, and how a home is opened
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

  const release = (): void => {
    for (const [name, home] of byGroup) {
      if (!isPlacedHere(name) && home.busy === 0) {
        home.close()
        byGroup.delete(name)
      }
    }
  }
  const timer = setInterval(release, RELEASE_MS)
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
    openPlaced: async () => {
      const names = configuration.versions().filter(({ group }) => group !== null).map(({ name }) => name)
      await Promise.all(names.filter(isPlacedHere).map(async (name) => await homeOf(name).view.refreshAndWait()))
    },
    waitUntilIdle: async (timeoutMs) => {
      const until = performance.now() + timeoutMs
      while ([...byGroup.values()].some((home) => home.busy > 0) && performance.now() < until) {
        await pause(DRAIN_POLL_MS)
      }
    },
    close: () => {
      clearInterval(timer)
      byGroup.forEach((home) => home.close())
    }
  }
}
