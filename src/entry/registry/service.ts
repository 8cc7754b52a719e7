/** Interface of the plug-in `registry`. */
import type { StoreTransaction } from '../ports/index.ts'
import type { RowStanding } from './row-standing.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'
import type { TableConfirmations } from './table-confirmations.ts'

export interface Registry {
  readonly self: { name: string, process: string }
  readonly current: RegistrySnapshot
  /** Age of the last confirmation that this process is registered, in milliseconds, counted from the request. */
  confirmedAgeMs: () => number
  /** Whether the snapshot shows this process as registered, and it has not begun to unregister. */
  isRegistered: () => boolean
  /** Since when the row of a host has stood, as far as this host has seen; undefined if there is none. */
  rowStanding: (name: string) => RowStanding | undefined
  /** Other hosts that are registered and not retired. */
  peers: () => KnownHost[]
  /** Whether a host is retired and all its leases on primaries have expired. */
  haveLeasesExpired: (host: KnownHost) => boolean
  /**
   * Reads the table from the store.
   *
   * @returns whether the store answered
   */
  refresh: () => Promise<boolean>
  /**
   * Writes rows if the expected versions match, and reads the table again.
   *
   * @returns whether the versions matched
   * @throws WorkswardError `PlatformUnavailable`; the rows may have been written
   */
  write: (transaction: Omit<StoreTransaction, 'table'>) => Promise<boolean>
  /**
   * Publishes in this host's row that it has stopped working at a group's primary, for peers that cannot reach it.
   *
   * @param group - the group
   * @param epoch - newest epoch closed on this host; earlier ones are closed too
   */
  publishStopped: (group: string, epoch: number) => Promise<void>
  /** Adds a listener that is called after each accepted snapshot. */
  onChange: (listener: () => void) => void
  /** Adds a listener that is called when the store stops answering this host. */
  onStoreUnavailable: (listener: () => void) => void
  /** Requests that the followers refresh their snapshots; does not wait for them. */
  requestPeerRefresh: () => void
  /** Adds a followed table, whose version travels with the snapshots. */
  followTable: TableConfirmations['add']
  /** Passes the version of a followed table on after it has changed. */
  onTableChanged: () => void
  /** Lower bound of the current time on the store's clock, in milliseconds. */
  storeNowAtLeastMs: () => number
  /** Upper bound of the current time on the store's clock, in milliseconds. */
  storeNowAtMostMs: () => number
}
