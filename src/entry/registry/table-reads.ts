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

/**
 * Time after its last answer for which the store counts as answering this host, in milliseconds: longer than the pause
 * between two questions.
 */
const ANSWERING_MS = 1000

/** Reads of a followed table. */
interface TableReads {
  /** Whether the store answers this host's questions for the table, or holds one. */
  readonly isFollowing: boolean
  /** Reads the whole table from the store. */
  readWhole: () => Promise<void>
  /** Waits for changes after a version from the store, for at most `waitMs` milliseconds. */
  readChanges: (after: number, waitMs: number) => Promise<void>
  /**
   * Asks followers.
   *
   * @param atLeast - version that an answer must be as of: another host has reported it
   * @returns whether one could answer
   */
  readFromPeer: (atLeast: number) => Promise<boolean>
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
  let isAsking = false
  let answeredAt = -Infinity

  const startAgain = (): void => {
    followed.forgetVersion()
    waiting.abort()
  }
  return {
    get isFollowing () { return isAsking || performance.now() - answeredAt < ANSWERING_MS },
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
      answeredAt = performance.now()
      followed.replace(snapshot.rows, snapshot.version, askedAt)
    },
    readChanges: async (after, waitMs) => {
      waiting = new AbortController()
      const { signal } = waiting
      isAsking = true
      const changes = await store.follow(table, after, waitMs, signal).catch((thrown: unknown) => {
        if (!signal.aborted) {
          throw thrown
        }
      }).finally(() => { isAsking = false })
      if (signal.aborted) {
        return
      }
      answeredAt = performance.now()
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
    readFromPeer: async (atLeast) => {
      const before = followed.version
      const isAnew = mustBeAnew
      mustBeAnew = false
      const changes = isAnew
        ? await exchange.askAnew(table, atLeast)
        : await exchange.ask(table, followed.copy.version, atLeast)
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
