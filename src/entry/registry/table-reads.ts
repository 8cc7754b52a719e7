/** Reads a followed table from the store or from another follower. `follow-table.ts` selects the source. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { StorePort } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { STORE_SOURCE, type FollowedTable } from './followed-table.ts'
import { createLargeChanges } from './large-changes.ts'
import type { ReceivedAnswers } from './received-answers.ts'
import type { TableExchange } from './table-exchange.ts'

interface TableReadsOptions {
  store: Pick<StorePort, 'list' | 'follow'>
  table: string
  logger: Logger
  followed: FollowedTable
  answers: ReceivedAnswers
  notifications: Pick<ChangeNotifications, 'notify'>
  exchange: Pick<TableExchange, 'requestChanges' | 'requestFreshRows'>
  /** Pause after changes before the next request, in milliseconds. */
  batchMs: number
}

/** Time after its last answer for which the store counts as answering, in milliseconds; covers pauses between reads. */
const FOLLOWING_GRACE_MS = 1000

interface TableReads {
  /** Whether the store holds a request of this host for the table, or has answered one recently. */
  readonly isFollowing: boolean
  /** Reads all rows from the store. */
  readFull: () => Promise<void>
  /** Waits up to `waitMs` milliseconds for changes after a version from the store, and applies them. */
  readChanges: (after: number, waitMs: number) => Promise<void>
  /**
   * Reads from followers.
   *
   * @param atLeast - minimum version of the response, which another host has reported
   * @returns whether a follower could answer
   */
  readFromPeer: (atLeast: number) => Promise<boolean>
  /** Aborts a pending request for changes. */
  interrupt: () => void
  /**
   * Makes the next read a full read, and aborts a pending request for changes. Does nothing while an answer of the
   * store is arriving: giving it up would lose what has arrived.
   */
  requestFullRead: () => void
  /** Like `requestFullRead`; a follower must also read the store again before it responds. */
  requestFreshRead: () => void
}

/**
 * Creates the reads of a table. Reads from the store throw the store's errors.
 *
 * @param options - the table and its sources
 * @returns the reads
 */
export function createTableReads (options: TableReadsOptions): TableReads {
  const { store, table, logger, followed, answers, notifications, exchange, batchMs } = options
  let mustReadFresh = false
  const large = createLargeChanges(answers)
  let longPoll = new AbortController()
  let isLongPolling = false
  let lastAnswerAt = -Infinity

  const requestFullRead = (): void => {
    if (!answers.isReceiving) {
      followed.invalidate()
      longPoll.abort()
    }
  }
  return {
    get isFollowing () { return isLongPolling || performance.now() - lastAnswerAt < FOLLOWING_GRACE_MS },
    requestFullRead,
    interrupt: () => longPoll.abort(),
    requestFreshRead: () => {
      mustReadFresh = true
      requestFullRead()
    },
    readFull: async () => {
      mustReadFresh = false
      const askedAt = performance.now()
      const snapshot = await large.readStore(async (onAnswering) => await store.list(table, onAnswering))
      lastAnswerAt = performance.now()
      followed.replace(snapshot.rows, snapshot.version, askedAt)
      followed.confirm({ confirmedAt: askedAt, source: STORE_SOURCE })
    },
    readChanges: async (after, waitMs) => {
      longPoll = new AbortController()
      const { signal } = longPoll
      isLongPolling = true
      const askedAt = performance.now()
      const changes = await large.readStore(
        async (onAnswering) => await store.follow(table, after, waitMs, signal, onAnswering), () => signal.aborted
      ).catch((thrown: unknown) => {
        if (!signal.aborted) {
          throw thrown
        }
      }).finally(() => { isLongPolling = false })
      if (signal.aborted) {
        return
      }
      lastAnswerAt = performance.now()
      if (changes === undefined) {
        logger.log('warn', 'feed.history-lost', { table, version: after })
        followed.invalidate()
        return
      }
      followed.update(changes.changed, changes.removed, changes.version)
      followed.confirm({ confirmedAt: askedAt, source: STORE_SOURCE })
      if (changes.changed.length + changes.removed.length > 0) {
        notifications.notify(table, changes.newest)
        await pause(batchMs)
      }
    },
    readFromPeer: async (atLeast) => {
      const versionBefore = followed.version
      const isFresh = mustReadFresh
      mustReadFresh = false
      const response = isFresh
        ? await exchange.requestFreshRows(table, atLeast, large.areAccepted)
        : await exchange.requestChanges(table, followed.copy.version, atLeast, large.areAccepted)
      if (response === 'large') {
        large.recordReferral()
        return false
      }
      // A version that changed during the request makes the response outdated.
      if (response === undefined || followed.version !== versionBefore) {
        return response !== undefined
      }
      const { changes: { isWhole, rows, removed, version }, confirmation } = response
      isWhole ? followed.replace(rows, version) : followed.update(rows, removed, version)
      followed.confirm(confirmation)
      return true
    }
  }
}
