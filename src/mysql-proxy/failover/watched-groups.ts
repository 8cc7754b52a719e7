/** Starts and closes group watches, so that they match the groups assigned to this keeper. */
import type { Group } from '../../core/config/index.ts'
import type { Configuration } from '../configuration/index.ts'
import type { Member } from '../membership/types.ts'
import type { GroupWatch } from './group-watch.ts'

/** Options of {@link createWatchedGroups}. */
interface WatchedGroupsOptions {
  /** Name of this host. */
  host: string
  configuration: Pick<Configuration, 'group' | 'versions'>
  /** Returns the keepers of a group by rank. */
  keepersOf: (group: string) => Member[]
  /** Starts watching a group. */
  startWatch: (name: string, group: Group) => GroupWatch
}

/** Groups watched by a keeper. */
interface WatchedGroups {
  /** Watches by name of the group. */
  readonly watches: Map<string, GroupWatch>
  /** Starts and closes watches to match the current assignment. */
  reconcile: () => void
  /** Closes all watches. */
  close: () => void
}

/**
 * Creates the watched groups of a keeper, initially empty.
 *
 * @param options - assignment, declarations and the factory of watches
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
    reconcile: () => {
      for (const { name, group } of configuration.versions()) {
        const watch = watches.get(name)
        const isAssigned = group !== null && keepersOf(name).some((keeper) => keeper.host === host)
        if (isAssigned && watch === undefined) {
          start(name)
        }
        if (!isAssigned && watch !== undefined) {
          watch.close()
          watches.delete(name)
        }
      }
    },
    close: () => watches.forEach((watch) => watch.close())
  }
}
