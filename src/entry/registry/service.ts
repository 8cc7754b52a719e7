/** What the plug-in `registry` offers. */
import type { StoreTransaction } from '../ports/index.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'

/** Service of the plug-in. */
export interface Registry {
  readonly self: { name: string, process: string }
  /** The newest snapshot. */
  readonly current: RegistrySnapshot
  /** Time since the question was sent whose answer showed this process as registered, in milliseconds. */
  confirmedAgeMs: () => number
  /** Other hosts that are registered and not retired. */
  peers: () => KnownHost[]
  /**
   * Reads the table now.
   *
   * @returns whether the store answered
   */
  refresh: () => Promise<boolean>
  /**
   * Writes rows of the table under conditions, and reads it again.
   *
   * @returns whether the conditions held
   * @throws WorkswardError `PlatformUnavailable`; the rows may have been written
   */
  write: (transaction: Omit<StoreTransaction, 'table'>) => Promise<boolean>
  /**
   * Writes into this host's row that it has stopped working at a group's primary, for peers that cannot ask it.
   *
   * @param group - the group
   * @param epoch - the epoch that is closed here, with all before it
   */
  publishStopped: (group: string, epoch: number) => Promise<void>
  /** Calls back after each new snapshot. */
  onChange: (listener: () => void) => void
  /** Calls back when the store has stopped answering this host. */
  onStoreLost: (listener: () => void) => void
  /** Asks peers to read the table now. */
  requestPeerRefresh: () => void
  /** Time of the store's clock now, as the least it can be, in milliseconds. */
  storeNowAtLeastMs: () => number
  /** Time of the store's clock now, as the most it can be, in milliseconds. */
  storeNowAtMostMs: () => number
}
