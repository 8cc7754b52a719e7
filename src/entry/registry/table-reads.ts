/**
 * The ways in which a followed table is read: whole from the store, its changes from the store by long poll, or either
 * from a host that follows it. Which of them is next is decided in `follow-table.ts`.
 */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { StorePort } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import type { FollowedTable } from './followed-table.ts'
import type { TableExchange } from './table-exchange.ts'

/** Options of {@link createTableReads}. */
interface TableReadsOptions {
  store: Pick<StorePort, 'list' | 'follow'>
  table: string
  logger: Logger
  followed: FollowedTable
  notifications: Pick<ChangeNotifications, 'notify'>
  exchange: Pick<TableExchange, 'ask' | 'askAnew'>
  /** Pause after changes before the next question, in milliseconds. */
  gatherMs: number
}

/** Reads of a followed table. */
interface TableReads {
  /** Reads the whole table from the store. */
  readWhole: () => Promise<void>
  /** Waits for changes after a version from the store, for at most `waitMs` milliseconds. */
  readChanges: (after: number, waitMs: number) => Promise<void>
  /** Asks followers; returns whether one could answer. */
  readFromPeer: () => Promise<boolean>
  /** Ends a wait for changes. */
  interrupt: () => void
  /** Has the table read whole next. */
  startAgain: () => void
  /** The same, and whoever is asked must read it anew from the store. */
  readAnew: () => void
}

/**
 * Creates the reads of a table.
 *
 * @param options - the table, and who is asked
 * @returns the reads; those of the store throw what it throws
 */
export function createTableReads (options: TableReadsOptions): TableReads {
  const { store, table, logger, followed, notifications, exchange, gatherMs } = options
  let mustBeAnew = false
  let waiting = new AbortController()

  const startAgain = (): void => {
    followed.forgetVersion()
    waiting.abort()
  }
  return {
    startAgain,
    interrupt: () => waiting.abort(),
    readAnew: () => {
      mustBeAnew = true
      startAgain()
    },
    readWhole: async () => {
      mustBeAnew = false
      const askedAt = performance.now()
      const snapshot = await store.list(table)
      followed.replace(snapshot.rows, snapshot.version, askedAt)
    },
    readChanges: async (after, waitMs) => {
      waiting = new AbortController()
      const { signal } = waiting
      const changes = await store.follow(table, after, waitMs, signal).catch((thrown: unknown) => {
        if (!signal.aborted) {
          throw thrown
        }
      })
      if (signal.aborted) {
        return
      }
      if (changes === undefined) {
        logger.log('warn', 'feed.history-lost', { table, version: after })
        followed.forgetVersion()
        return
      }
      followed.update(changes.changed, changes.removed, changes.version)
      if (changes.changed.length + changes.removed.length > 0) {
        notifications.notify(table, changes.newest)
        await pause(gatherMs)
      }
    },
    readFromPeer: async () => {
      const before = followed.version
      const isAnew = mustBeAnew
      mustBeAnew = false
      const changes = isAnew ? await exchange.askAnew(table) : await exchange.ask(table, before)
      // A change of the version meanwhile means that the answer is to an earlier state.
      if (changes === undefined || followed.version !== before) {
        return changes !== undefined
      }
      changes.isWhole
        ? followed.replace(changes.rows, changes.version)
        : followed.update(changes.rows, changes.removed, changes.version)
      return true
    }
  }
}
