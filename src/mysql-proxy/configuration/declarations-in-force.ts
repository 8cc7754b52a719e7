/**
 * The declarations in force on this process: the newest version of each group that it has received, and the count of
 * changes that it has applied. Both only rise, so that versions from the platform and from peers may arrive in any
 * order.
 */
import type { Group } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Changes, VersionedGroup } from './types.ts'

/** The declarations in force. */
export interface DeclarationsInForce {
  /** Whether any were applied. */
  readonly ready: boolean
  /** Count of changes applied. */
  readonly revision: number
  /** Returns a group in force. */
  group: (name: string) => Group | undefined
  /** Returns all groups, removed ones included. */
  versions: () => VersionedGroup[]
  /** Calls back with every version that comes into force. */
  onChange: (listener: (version: VersionedGroup) => void) => void
  /** Puts versions into force that are newer than those held. */
  apply: (changes: Changes) => void
  /**
   * Returns the groups that changed after a revision.
   *
   * @param revision - the revision; 0 for all
   */
  changesSince: (revision: number) => Changes
}

/**
 * Creates the declarations of a process that starts; there are none yet.
 *
 * @param logger - for the event `configuration.applied`
 * @returns the declarations in force
 */
export function createDeclarationsInForce (logger: Logger): DeclarationsInForce {
  const groups = new Map<string, VersionedGroup>()
  const listeners: Array<(version: VersionedGroup) => void> = []
  let revision = 0

  const applyVersion = (version: VersionedGroup): void => {
    if (version.version <= (groups.get(version.name)?.version ?? 0)) {
      return
    }
    groups.set(version.name, version)
    logger.log('info', 'configuration.applied', {
      group: version.name, version: version.version, change: version.change.changeId
    })
    listeners.forEach((listener) => listener(version))
  }

  return {
    get ready () { return revision > 0 },
    get revision () { return revision },
    group: (name) => groups.get(name)?.group ?? undefined,
    versions: () => [...groups.values()],
    onChange: (listener) => listeners.push(listener),
    apply: (changes) => {
      changes.groups.forEach(applyVersion)
      revision = Math.max(revision, changes.revision)
    },
    changesSince: (since) => ({
      revision, groups: [...groups.values()].filter((version) => version.revision > since)
    })
  }
}
