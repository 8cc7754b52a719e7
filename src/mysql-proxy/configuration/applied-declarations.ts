/**
 * The declarations applied on this process: the newest known version of each group, and the revision they belong to.
 * Both only increase, so versions from the platform and from peers may arrive in any order.
 */
import type { Group } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Changes, VersionedGroup } from './types.ts'

/** The declarations that this process uses. */
export interface AppliedDeclarations {
  /** Whether a revision has been applied. */
  readonly ready: boolean
  /** Latest applied revision. */
  readonly revision: number
  /** Returns the applied declarations of a group; undefined when it is unknown or was removed. */
  group: (name: string) => Group | undefined
  /** Returns the applied version of every group, including removed groups. */
  versions: () => VersionedGroup[]
  /** Registers a listener for every version that is applied. */
  onChange: (listener: (version: VersionedGroup) => void) => void
  /** Applies the versions that are newer than the current ones. */
  apply: (changes: Changes) => void
  /**
   * Returns the groups that changed after a revision.
   *
   * @param revision - the revision; 0 returns every group
   */
  changesSince: (revision: number) => Changes
}

/**
 * Creates an empty set of declarations at revision 0.
 *
 * @param logger - receives the event `configuration.applied`
 * @returns the declarations
 */
export function createAppliedDeclarations (logger: Logger): AppliedDeclarations {
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
