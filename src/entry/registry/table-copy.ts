/** Copy of a store table with its recent changes, which this host serves to hosts that don't follow the table. */
import { createWaiters } from '../../core/time/waiters.ts'
import type { StoreRow } from '../ports/index.ts'

/** Changes of a table since a version, or all of its rows. */
export interface TableChanges {
  /** Store version that these changes lead to. */
  version: number
  /** Whether `rows` contains all rows of the table. */
  isWhole: boolean
  rows: StoreRow[]
  /** Keys of removed rows; empty if `isWhole`. */
  removed: string[]
}

export interface TableCopy {
  /**
   * Replaces all rows.
   *
   * @param rows - all rows of the table
   * @param version - store version of the rows
   * @param askedAt - time of the request to the store, on the monotonic clock; absent for rows from another host
   */
  replace: (rows: StoreRow[], version: number, askedAt?: number) => void
  /** Applies changed and removed rows. */
  update: (changed: StoreRow[], removed: string[], version: number) => void
  /**
   * Waits for changes, and returns them.
   *
   * @param after - version that the requester has; undefined to request all rows
   * @param holdMs - maximum wait, in milliseconds
   * @param isInterrupted - whether to end the wait; checked on each change and each `recheck`
   * @returns the changes, which may be empty; undefined if the copy is unread or older than `after`
   */
  changesSince: (
    after: number | undefined, holdMs: number, isInterrupted?: () => boolean
  ) => Promise<TableChanges | undefined>
  /** Makes all waits check whether they are interrupted. */
  recheck: () => void
  /** Store version of the copy; undefined before the first read. */
  readonly version: number | undefined
  /** Store version of the newest change to the rows, or a later one; undefined before the first read. */
  readonly changedVersion: number | undefined
  /** Time of this host's last request to the store for all rows, on the monotonic clock. */
  readonly fullReadAt: number
  /**
   * Waits for a full read from the store.
   *
   * @param since - earliest time of its request, on the monotonic clock
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns whether there was such a read
   */
  waitForRead: (since: number, timeoutMs: number) => Promise<boolean>
}

/** Number of removals that are kept; a requester with an older version receives all rows. */
const MAXIMUM_REMOVALS = 200

/**
 * Creates an empty copy.
 *
 * @returns the copy
 */
export function createTableCopy (): TableCopy {
  const waiters = createWaiters()
  const rows = new Map<string, StoreRow>()
  let removals: Array<{ key: string, version: number }> = []
  let version: number | undefined
  /** Version from which all removals are available. */
  let removalsFrom = 0
  let lastFullReadAt = -Infinity
  let changedVersion: number | undefined

  const changedSince = (after: number): TableChanges => ({
    version: version!,
    isWhole: false,
    rows: [...rows.values()].filter((row) => row.version > after),
    removed: removals.filter((removal) => removal.version > after && !rows.has(removal.key)).map(({ key }) => key)
  })
  const findChanges = (after: number | undefined): TableChanges | undefined => {
    if (version === undefined || (after !== undefined && after > version)) {
      return undefined
    }
    return after === undefined || after < removalsFrom
      ? { version, isWhole: true, rows: [...rows.values()], removed: [] }
      : changedSince(after)
  }
  const hasChanges = ({ isWhole, rows, removed }: TableChanges): boolean =>
    isWhole || rows.length > 0 || removed.length > 0
  return {
    get version () { return version },
    get changedVersion () { return changedVersion },
    get fullReadAt () { return lastFullReadAt },
    waitForRead: async (since, timeoutMs) =>
      await waiters.until(() => lastFullReadAt >= since || undefined, timeoutMs) ?? false,
    replace: (newRows, newVersion, askedAt = lastFullReadAt) => {
      const keys = new Set(newRows.map(({ key }) => key))
      const hasRemovals = [...rows.keys()].some((key) => !keys.has(key))
      changedVersion = hasRemovals ? newVersion : Math.max(changedVersion ?? 0, ...newRows.map((row) => row.version))
      rows.clear()
      newRows.forEach((row) => rows.set(row.key, row))
      removals = []
      version = newVersion
      removalsFrom = newVersion
      lastFullReadAt = askedAt
      waiters.notify()
    },
    update: (changed, removed, newVersion) => {
      changedVersion = removed.length > 0
        ? newVersion
        : Math.max(changedVersion ?? 0, ...changed.map((row) => row.version))
      changed.forEach((row) => rows.set(row.key, row))
      removed.forEach((key) => {
        rows.delete(key)
        removals.push({ key, version: newVersion })
      })
      const dropped = removals.splice(0, Math.max(0, removals.length - MAXIMUM_REMOVALS))
      removalsFrom = Math.max(removalsFrom, ...dropped.map((removal) => removal.version))
      version = newVersion
      waiters.notify()
    },
    changesSince: async (after, holdMs, isInterrupted = () => false) => {
      await waiters.until(() => {
        const changes = findChanges(after)
        return (changes !== undefined && hasChanges(changes)) || isInterrupted() || undefined
      }, holdMs)
      return findChanges(after)
    },
    recheck: waiters.notify
  }
}
