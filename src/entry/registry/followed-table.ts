/**
 * The state of a followed table: its copy, the version that it is as of, and who is called when it changes. It
 * sends no questions; see `table-reads.ts`.
 */
import type { StoreRow } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { createTableCopy, type TableCopy } from './table-copy.ts'

/** Options of {@link createFollowedTable}. */
export interface FollowedTableOptions {
  table: string
  /** Notifies peers of changes. */
  notifications: Pick<ChangeNotifications, 'notify'>
  /** Called with the whole table; returns whether anything has changed. */
  onRows: (rows: StoreRow[]) => boolean
  /** Called with changed rows and the keys of removed ones. */
  onChanges: (changed: StoreRow[], removed: string[]) => void
}

/** The state of a followed table. */
export interface FollowedTable {
  /** Version of the store that the table is as of; undefined when it must be read whole. */
  readonly version: number | undefined
  readonly copy: TableCopy
  /**
   * Replaces the whole table, and notifies peers when that changed anything.
   *
   * @param rows - its rows
   * @param asOf - version of the store that they are as of
   * @param askedAt - when the store was asked, on the steady clock; left out when another host was
   */
  replace: (rows: StoreRow[], asOf: number, askedAt?: number) => void
  /** Applies changes. */
  update: (changed: StoreRow[], removed: string[], asOf: number) => void
  /** Drops the version, so that the table is read whole next; its copy goes on serving. */
  forgetVersion: () => void
}

/**
 * Creates the state of a table that has not been read.
 *
 * @param options - the table, and who is called
 * @returns the state
 */
export function createFollowedTable (options: FollowedTableOptions): FollowedTable {
  const { table, notifications, onRows, onChanges } = options
  const copy = createTableCopy()
  let version: number | undefined
  /** Peers know what the first read returns; later each host notifies them of what its own read has changed. */
  let isRead = false

  return {
    get version () { return version },
    copy,
    replace: (rows, asOf, askedAt) => {
      version = asOf
      copy.replace(rows, asOf, askedAt)
      const changed = onRows(rows)
      if (changed && isRead) {
        notifications.notify(table, Math.max(0, ...rows.map((row) => row.version)))
      }
      isRead = true
    },
    update: (changed, removed, asOf) => {
      version = asOf
      copy.update(changed, removed, asOf)
      if (changed.length + removed.length > 0) {
        onChanges(changed, removed)
      }
    },
    forgetVersion: () => { version = undefined }
  }
}
