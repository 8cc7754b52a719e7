/**
 * Reads of a followed table beside the loop that follows it, which may be waiting on a connection that has gone silent:
 * a request to the store whether anything has changed, and one to a host that is known to have a change.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { StorePort } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { STORE_SOURCE, type FollowedTable } from './followed-table.ts'
import type { ReceivedAnswers } from './received-answers.ts'
import type { TableChanges } from './table-copy.ts'
import type { TableExchange } from './table-exchange.ts'

interface SideReadsOptions {
  store: Pick<StorePort, 'follow'>
  table: string
  logger: Logger
  followed: FollowedTable
  answers: ReceivedAnswers
  notifications: Pick<ChangeNotifications, 'notify'>
  exchange: Pick<TableExchange, 'requestFromHost'>
  /** Aborts a pending request for changes. */
  interrupt: () => void
  requestFullRead: () => void
}

interface SideReads {
  /** Reads the changes that a host has, or reads them from the store if they are large. */
  readFromHost: (host: string) => Promise<void>
  /**
   * Asks the store for changes without waiting for any, and confirms the copy. While an answer of the store is arriving
   * it asks for nothing, since the answer to that would contain the same change.
   *
   * @throws WorkswardError `PlatformUnavailable`
   */
  confirm: () => Promise<void>
}

/**
 * Creates the reads.
 *
 * @param options - the table, its sources, and the loop that follows it
 * @returns the reads
 */
export function createSideReads (options: SideReadsOptions): SideReads {
  const { store, table, logger, followed, answers, notifications, exchange, interrupt, requestFullRead } = options

  const apply = ({ isWhole, rows, removed, version }: TableChanges): void => {
    isWhole ? followed.replace(rows, version) : followed.amend(rows, removed, version)
    if (isWhole || rows.length + removed.length > 0) {
      // A long poll that has not returned the change may hang.
      interrupt()
    }
  }
  const confirm = async (): Promise<void> => {
    const { version } = followed.copy
    if (version === undefined || answers.isReceiving) {
      return
    }
    const askedAt = performance.now()
    const changes = await answers.track(async (onAnswering) =>
      await store.follow(table, version, 0, new AbortController().signal, onAnswering))
    if (changes === undefined) {
      logger.log('warn', 'feed.history-lost', { table, version })
      requestFullRead()
      return
    }
    const { changed, removed, newest } = changes
    if (followed.copy.version === version) {
      apply({ isWhole: false, rows: changed, removed, version: changes.version })
      if (changed.length + removed.length > 0) {
        notifications.notify(table, newest)
      }
    }
    if (newest <= (followed.copy.version ?? -1)) {
      followed.confirm({ confirmedAt: askedAt, source: STORE_SOURCE })
    }
  }
  return {
    confirm,
    readFromHost: async (host) => {
      const response = await exchange.requestFromHost(host, table, followed.copy.version)
      if (response === 'large') {
        await confirm().catch((thrown: unknown) =>
          logger.log('debug', 'feed.not-confirmed', { table, reason: describeThrown(thrown) }))
      }
      if (typeof response !== 'object') {
        return
      }
      const { changes, confirmation } = response
      if (changes.version >= (followed.copy.version ?? -1)) {
        apply(changes)
      }
      followed.confirm(confirmation)
    }
  }
}
