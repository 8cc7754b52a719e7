/**
 * The configuration in the platform: one row for each group, a count of changes, and a record of each change. Writes
 * are conditional on the versions they were made from, so one of two concurrent changes of a group wins. A change is
 * idempotent by its id: when the answer to a write is lost, the rows are read to see whether it was made.
 */
import { WorkswardError } from '../../core/errors/index.ts'
import type { Group } from '../../core/config/index.ts'
import {
  HEAD_SORT, LOWEST_SORT, PARTITIONS, type ConditionalRow, type PlatformObjects, type PlatformTable, type TableRow
} from '../storage/types.ts'
import {
  recordedChangeSchema, versionedGroupSchema, type Change, type Changes, type RecordedChange, type VersionedGroup
} from './types.ts'

/** A change of one group. */
export interface GroupChange {
  name: string
  /** The new declarations; null removes the group. */
  group: Group | null
  /** Version the change was made from; 0 when the group did not exist. */
  baseVersion: number
}

/** The configuration store. */
export interface ConfigurationStore {
  /** Reads the count of changes. */
  revision: () => Promise<number>
  /**
   * Reads the groups that changed after a revision.
   *
   * @param revision - the revision; 0 for all
   */
  changesSince: (revision: number) => Promise<Changes>
  /**
   * Makes a change, or finds that it was made by an earlier attempt.
   *
   * @param groups - the groups to change
   * @param change - who, when and why
   * @returns the new revision
   * @throws WorkswardError `ConfigurationConflict` when another change won, `PlatformUnavailable`
   */
  accept: (groups: GroupChange[], change: Change) => Promise<number>
  /** Reads the record of changes after a revision. */
  history: (afterRevision: number) => Promise<RecordedChange[]>
  /** Reads a group as it was in a version. */
  snapshot: (name: string, version: number) => Promise<VersionedGroup | undefined>
}

/**
 * Attempts of one change: it is repeated when an answer was lost, or when a change of another group raised the count of
 * changes first.
 */
const ATTEMPTS = 5
/** Digits of a revision in a sort key, so that keys sort by number; part of the stored form. */
const SORT_DIGITS = 12

/**
 * Creates the store.
 *
 * @param table - the platform's table
 * @param objects - the platform's object store
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

  /** Returns the revision of a change that was made already, and fails when another change won. */
  const findOutcome = async (groups: GroupChange[], change: Change): Promise<number | undefined> => {
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
      for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
        try {
          const revision = await findOutcome(groups, change) ?? await tryAccept(groups, change)
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

/** Snapshots are written first, so that every accepted version has one; those of changes that lost are never read. */
async function writeSnapshots (objects: PlatformObjects, versions: VersionedGroup[]): Promise<void> {
  await Promise.all(versions.map(async (version) =>
    await objects.put(snapshotKey(version.name, version.version, version.change.changeId), JSON.stringify(version))))
}

function parseGroup (row: TableRow): VersionedGroup {
  return versionedGroupSchema.parse(JSON.parse(row.body))
}

function formatRevision (revision: number): string {
  return String(revision).padStart(SORT_DIGITS, '0')
}

function snapshotKey (name: string, version: number, changeId: string): string {
  return `groups/${name}/${formatRevision(version)}-${changeId}.json`
}
