/**
 * The groups that are placed on this keeper, each with its watch. Owns the watches; relies on the placement among the
 * keepers and on the declarations in force.
 */
import type { Group } from '../../core/config/index.ts'
import type { Configuration } from '../configuration/index.ts'
import type { Member } from '../membership/types.ts'
import type { GroupWatch } from './group-watch.ts'

/** Options of {@link createWatchedGroups}. */
interface WatchedGroupsOptions {
  /** Name of this host. */
  host: string
  configuration: Pick<Configuration, 'group' | 'versions'>
  /** Keepers of a group, the first one to act first. */
  keepersOf: (group: string) => Member[]
  /** Starts watching a group. */
  startWatch: (name: string, group: Group) => GroupWatch
}

/** The watched groups of a keeper. */
interface WatchedGroups {
  readonly watches: Map<string, GroupWatch>
  /** Starts and ends watches, so that they match the placement. */
  place: () => void
  /** Ends all watches. */
  close: () => void
}

/**
 * Creates the watched groups of a keeper; none is watched yet.
 *
 * @param options - placement, declarations, and how a watch starts
 * @returns the groups
 */
export function createWatchedGroups (options: WatchedGroupsOptions): WatchedGroups {
  const { host, configuration, keepersOf, startWatch } = options
  const watches = new Map<string, GroupWatch>()

  const start = (name: string): void => {
    const group = configuration.group(name)
    if (group !== undefined) {
      watches.set(name, startWatch(name, group))
    }
  }

  return {
    watches,
    place: () => {
      for (const { name, group } of configuration.versions()) {
        const watched = watches.get(name)
        const isPlacedHere = group !== null && keepersOf(name).some((keeper) => keeper.host === host)
        if (isPlacedHere && watched === undefined) {
          start(name)
        }
        if (!isPlacedHere && watched !== undefined) {
          watched.close()
          watches.delete(name)
        }
      }
    },
    close: () => watches.forEach((watch) => watch.close())
  }
}
