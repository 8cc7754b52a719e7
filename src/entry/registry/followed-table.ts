/**
 * State of a followed table: its copy, its version and the callbacks for changes. Several reads may be in progress at
 * once, and answers may be late, so one that is older than the copy is ignored.
 */
import type { StoreRow } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { createTableCopy, type TableCopy } from './table-copy.ts'

export interface FollowedTableOptions {
  table: string
  /** Notifies peers of changes. */
  notifications: Pick<ChangeNotifications, 'notify'>
  /** Called with all rows of the table; returns whether any of them has changed. */
  onRows: (rows: StoreRow[]) => boolean
  /** Called with changed rows and the keys of removed rows. */
  onChanges: (changed: StoreRow[], removed: string[]) => void
  /** Called after the rows may have changed. */
  onTableChanged: () => void
}

/** When a copy was last confirmed as current, and by whom. */
export interface TableConfirmation {
  /** Time of the request to the store that the confirmation goes back to, on the monotonic clock; -Infinity if none. */
  confirmedAt: number
  /** `store`, or the name of the host whose response confirmed the copy. */
  source: string
}

/** Source of a confirmation by the store itself. */
export const STORE_SOURCE = 'store'

export interface FollowedTable {
  /** Store version of the rows; undefined if the next read must be a full read. */
  readonly version: number | undefined
  readonly copy: TableCopy
  /** Store version of the newest change to the rows; undefined before the first read. */
  readonly changedVersion: number | undefined
  /** The last confirmation; while changes are applied, that of the rows before them. */
  readonly confirmation: TableConfirmation
  /** Records that the copy is current as of a time; ignores one that is not newer than the last. */
  confirm: (confirmation: TableConfirmation) => void
  /**
   * Replaces all rows, and notifies peers if that changed anything.
   *
   * @param rows - all rows of the table
   * @param asOfVersion - store version of the rows
   * @param askedAt - time of the request to the store, on the monotonic clock; absent for rows from another host
   */
  replace: (rows: StoreRow[], asOfVersion: number, askedAt?: number) => void
  /** Applies changed and removed rows. */
  update: (changed: StoreRow[], removed: string[], asOfVersion: number) => void
  /** Like `update`, but a full read that has been required stays so. */
  amend: (changed: StoreRow[], removed: string[], asOfVersion: number) => void
  /** Discards the version, which requires a full read next; the copy stays available to other hosts. */
  invalidate: () => void
}

/**
 * Creates the state of a table that has not been read.
 *
 * @param options - the table and the callbacks
 * @returns the state
 */
export function createFollowedTable (options: FollowedTableOptions): FollowedTable {
  const { table, notifications, onRows, onChanges, onTableChanged } = options
  const copy = createTableCopy()
  let version: number | undefined
  let confirmation: TableConfirmation = { confirmedAt: -Infinity, source: STORE_SOURCE }
  /** Whether the table has been read before. The first read notifies no peers, since they have these rows already. */
  let hasBeenRead = false

  const isOutdated = (asOfVersion: number): boolean => asOfVersion < (copy.version ?? -1)
  const apply = (changed: StoreRow[], removed: string[], asOfVersion: number): void => {
    if (isOutdated(asOfVersion)) {
      return
    }
    copy.update(changed, removed, asOfVersion)
    if (changed.length + removed.length > 0) {
      onChanges(changed, removed)
      onTableChanged()
    }
  }
  return {
    get version () { return version },
    copy,
    get changedVersion () { return copy.changedVersion },
    get confirmation () { return confirmation },
    confirm: (next) => {
      if (next.confirmedAt > confirmation.confirmedAt) {
        confirmation = next
      }
    },
    replace: (rows, asOfVersion, askedAt) => {
      if (isOutdated(asOfVersion)) {
        version = copy.version
        return
      }
      version = asOfVersion
      copy.replace(rows, asOfVersion, askedAt)
      const changed = onRows(rows)
      onTableChanged()
      if (changed && hasBeenRead) {
        notifications.notify(table, Math.max(0, ...rows.map((row) => row.version)))
      }
      hasBeenRead = true
    },
    update: (changed, removed, asOfVersion) => {
      apply(changed, removed, asOfVersion)
      version = copy.version
    },
    amend: (changed, removed, asOfVersion) => {
      apply(changed, removed, asOfVersion)
      version = version === undefined ? undefined : copy.version
    },
    invalidate: () => { version = undefined }
  }
}
