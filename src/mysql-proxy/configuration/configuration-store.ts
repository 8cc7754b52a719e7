/**
 * Stores the configuration in the platform: one row per group, a revision counter and a history of changes. Writes are
 * conditional on the version they are based on, so only one of two concurrent changes to a group succeeds. Change IDs
 * make retries idempotent: after a write of unknown outcome, the rows are read to find out whether it was applied.
 */
import { WorkswardError } from '../../core/errors/index.ts'
import type { Group } from '../../core/config/index.ts'
import {
  HEAD_SORT, LOWEST_SORT, PARTITIONS, type ConditionalRow, type PlatformObjects, type PlatformTable, type TableRow
} from '../storage/types.ts'
import {
  recordedChangeSchema, versionedGroupSchema, type Change, type Changes, type RecordedChange, type VersionedGroup
} from './types.ts'

/** A change to one group. */
export interface GroupChange {
  name: string
  /** The new declarations; null removes the group. */
  group: Group | null
  /** Version the change is based on; 0 for a new group. */
  baseVersion: number
}

/** Reads and writes the configuration in the platform. */
export interface ConfigurationStore {
  /** Reads the current revision, which increases by one with each change. */
  revision: () => Promise<number>
  /**
   * Reads the groups that changed after a revision.
   *
   * @param revision - the revision; 0 returns every group
   */
  changesSince: (revision: number) => Promise<Changes>
  /**
   * Writes a change. Idempotent by change ID: repeating an accepted change returns its revision.
   *
   * @param groups - the groups to change
   * @param change - ID, operator, time and reason of the change
   * @returns the revision that the change created
   * @throws WorkswardError `ConfigurationConflict` when a concurrent change was accepted first, `PlatformUnavailable`
   */
  accept: (groups: GroupChange[], change: Change) => Promise<number>
  /** Reads the history of changes after a revision. */
  history: (afterRevision: number) => Promise<RecordedChange[]>
  /** Reads one version of a group. */
  snapshot: (name: string, version: number) => Promise<VersionedGroup | undefined>
}

/** Attempts per change; retried after a failed call, or when a change to another group took the same revision. */
const MAXIMUM_ATTEMPTS = 5
/** Width to which revisions in sort keys are zero-padded, so that keys sort numerically. Part of the stored format. */
const REVISION_DIGITS = 12

/**
 * Creates the configuration store.
 *
 * @param table - holds the groups, the revision and the history
 * @param objects - holds a snapshot of each version of a group
 * @returns the store
 */
export function createConfigurationStore (table: PlatformTable, objects: PlatformObjects): ConfigurationStore {
  const readRevision = async (): Promise<number> => (await table.read(PARTITIONS.head, HEAD_SORT))?.version ?? 0

  const readGroup = async (name: string): Promise<VersionedGroup | undefined> => {
    const row = await table.read(PARTITIONS.groups, name)
    return row === undefined ? undefined : parseGroup(row)
  }

  const readHistory = async (after: number): Promise<RecordedChange[]> => {
    const rows = await table.list(PARTITIONS.changes, formatRevision(after))
    return rows.map((row) => recordedChangeSchema.parse(JSON.parse(row.body)))
  }

  const tryAccept = async (groups: GroupChange[], change: Change): Promise<number | undefined> => {
    const revision = await readRevision()
    const versions = groups.map(({ name, group, baseVersion }): VersionedGroup => ({
      name, group, change, version: baseVersion + 1, revision: revision + 1
    }))
    await writeSnapshots(objects, versions)
    const accepted = await table.write(buildRows(versions, change, revision))
    return accepted ? revision + 1 : undefined
  }

  /** Returns the revision of a change that an earlier attempt wrote; throws when a concurrent change was accepted. */
  const findAcceptedRevision = async (groups: GroupChange[], change: Change): Promise<number | undefined> => {
    for (const { name, baseVersion } of groups) {
      const current = await readGroup(name)
      if (current?.change.changeId === change.changeId) {
        return current.revision
      }
      if ((current?.version ?? 0) !== baseVersion) {
        throw new WorkswardError('ConfigurationConflict', {
          group: name, winner: current?.change.changeId ?? 'unknown', version: current?.version ?? 0
        })
      }
    }
    return undefined
  }

  return {
    revision: readRevision,
    history: readHistory,
    changesSince: async (since) => {
      const revision = await readRevision()
      if (since === 0) {
        const rows = await table.list(PARTITIONS.groups, LOWEST_SORT)
        return { revision, groups: rows.map(parseGroup) }
      }
      const names = new Set((await readHistory(since)).flatMap(({ groups }) => groups.map(({ name }) => name)))
      const groups = await Promise.all([...names].map(readGroup))
      return { revision, groups: groups.filter((group) => group !== undefined) }
    },
    accept: async (groups, change) => {
      let failure: unknown
      for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
        try {
          const revision = await findAcceptedRevision(groups, change) ?? await tryAccept(groups, change)
          if (revision !== undefined) {
            return revision
          }
        } catch (thrown) {
          if (thrown instanceof WorkswardError && thrown.entry === 'ConfigurationConflict') {
            throw thrown
          }
          failure = thrown
        }
      }
      throw failure ?? new WorkswardError('PlatformUnavailable', {
        operation: 'accept', reason: 'too many changes at one moment'
      })
    },
    snapshot: async (name, version) => {
      const record = (await readHistory(0)).find(({ groups }) =>
        groups.some((group) => group.name === name && group.version === version))
      const text = record === undefined ? undefined : await objects.get(snapshotKey(name, version, record.changeId))
      return text === undefined ? undefined : versionedGroupSchema.parse(JSON.parse(text))
    }
  }
}

function buildRows (versions: VersionedGroup[], change: Change, revision: number): ConditionalRow[] {
  const groups = versions.map((version): ConditionalRow => ({
    partition: PARTITIONS.groups,
    sort: version.name,
    version: version.version,
    body: JSON.stringify(version),
    expectedVersion: version.version === 1 ? undefined : version.version - 1
  }))
  const record: RecordedChange = {
    ...change, revision: revision + 1, groups: versions.map(({ name, version }) => ({ name, version }))
  }
  return [
    {
      partition: PARTITIONS.head,
      sort: HEAD_SORT,
      version: revision + 1,
      body: change.changeId,
      expectedVersion: revision === 0 ? undefined : revision
    },
    { partition: PARTITIONS.changes, sort: formatRevision(revision + 1), version: 1, body: JSON.stringify(record) },
    ...groups
  ]
}

/** Runs before the rows are written, so that every accepted version has a snapshot; rejected ones are never read. */
async function writeSnapshots (objects: PlatformObjects, versions: VersionedGroup[]): Promise<void> {
  await Promise.all(versions.map(async (version) =>
    await objects.put(snapshotKey(version.name, version.version, version.change.changeId), JSON.stringify(version))))
}

function parseGroup (row: TableRow): VersionedGroup {
  return versionedGroupSchema.parse(JSON.parse(row.body))
}

function formatRevision (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}

function snapshotKey (name: string, version: number, changeId: string): string {
  return `groups/${name}/${formatRevision(version)}-${changeId}.json`
}
