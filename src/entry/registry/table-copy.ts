/** A table of the store as this host knows it, and its recent changes, for hosts that don't follow it. */
import { createWaiters } from '../../core/time/waiters.ts'
import type { StoreRow } from '../ports/index.ts'

/** What has changed in a table since a version, or all of it. */
export interface TableChanges {
  /** Version of the store that this is as of. */
  version: number
  /** Whether `rows` are all that there are. */
  isWhole: boolean
  rows: StoreRow[]
  /** Keys of rows that were removed; empty when it is whole. */
  removed: string[]
}

/** A table as this host knows it. */
export interface TableCopy {
  /**
   * Replaces the copy by the whole table.
   *
   * @param rows - its rows
   * @param version - version of the store that they are as of
   * @param askedAt - when the store was asked for them, on the steady clock; left out when another host was
   */
  replace: (rows: StoreRow[], version: number, askedAt?: number) => void
  /** Applies changes. */
  update: (changed: StoreRow[], removed: string[], version: number) => void
  /**
   * Waits until there is something new, for a bounded time.
   *
   * @param after - version that is known already; undefined when nothing is
   * @param holdMs - greatest wait, in milliseconds
   * @returns what has changed; undefined when the table is not known here, or not as far as `after`
   */
  changesSince: (after: number | undefined, holdMs: number) => Promise<TableChanges | undefined>
  /** Version of the store that the copy is as of; undefined while nothing is known. */
  readonly version: number | undefined
  /** When the store was last asked for the whole table by this host, on the steady clock. */
  readonly readAt: number
  /**
   * Waits until the store was asked for the whole table after a moment, for a bounded time.
   *
   * @param since - the moment, on the steady clock
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns whether it was
   */
  readSince: (since: number, timeoutMs: number) => Promise<boolean>
}

/** Removed rows that are remembered; a requester that knows less gets the whole table. */
const REMEMBERED_REMOVALS = 200

/**
 * Creates a copy, which knows nothing yet.
 *
 * @returns the copy
 */
export function createTableCopy (): TableCopy {
  const waiters = createWaiters()
  const rows = new Map<string, StoreRow>()
  let removals: Array<{ key: string, version: number }> = []
  let version: number | undefined
  /** Version from which on all removals are remembered. */
  let rememberedFrom = 0
  let readAt = -Infinity

  const changedSince = (after: number): TableChanges => ({
    version: version!,
    isWhole: false,
    rows: [...rows.values()].filter((row) => row.version > after),
    removed: removals.filter((removal) => removal.version > after && !rows.has(removal.key)).map(({ key }) => key)
  })
  const look = (after: number | undefined): TableChanges | undefined => {
    if (version === undefined || (after !== undefined && after > version)) {
      return undefined
    }
    return after === undefined || after < rememberedFrom
      ? { version, isWhole: true, rows: [...rows.values()], removed: [] }
      : changedSince(after)
  }
  const hasChanges = ({ isWhole, rows, removed }: TableChanges): boolean =>
    isWhole || rows.length > 0 || removed.length > 0
  return {
    get version () { return version },
    get readAt () { return readAt },
    readSince: async (since, timeoutMs) =>
      await waiters.until(() => readAt >= since || undefined, timeoutMs) ?? false,
    replace: (read, readVersion, askedAt = readAt) => {
      rows.clear()
      read.forEach((row) => rows.set(row.key, row))
      removals = []
      version = readVersion
      rememberedFrom = readVersion
      readAt = askedAt
      waiters.notify()
    },
    update: (changed, removed, newVersion) => {
      changed.forEach((row) => rows.set(row.key, row))
      removed.forEach((key) => {
        rows.delete(key)
        removals.push({ key, version: newVersion })
      })
      const forgotten = removals.splice(0, Math.max(0, removals.length - REMEMBERED_REMOVALS))
      rememberedFrom = Math.max(rememberedFrom, ...forgotten.map((removal) => removal.version))
      version = newVersion
      waiters.notify()
    },
    changesSince: async (after, holdMs) => {
      const found = await waiters.until(() => {
        const changes = look(after)
        return changes !== undefined && hasChanges(changes) ? changes : undefined
      }, holdMs)
      return found ?? look(after)
    }
  }
}
