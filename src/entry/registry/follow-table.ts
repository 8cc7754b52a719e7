/**
 * Follows a table of the store. Followers read the store first, and other followers if that fails. All other hosts
 * read from followers first, to save calls to the store; if none can answer, they act as followers for
 * {@link FALLBACK_FOLLOWER_MS}. Before the first read (`first-read.ts`) a host needs the table at once, and asks both.
 * A host that misses a change of which another host has told reads from that host,
 * because its own request may hang. A peer's answer must include the newest version that any peer has reported.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { StorePort } from '../ports/index.ts'
import { createCatchUp } from './catch-up.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { createConfirmedTable } from './confirmed-table.ts'
import { readFirst } from './first-read.ts'
import {
  createFollowedTable, type FollowedTable, type FollowedTableOptions, type TableConfirmation
} from './followed-table.ts'
import { createReceivedAnswers } from './received-answers.ts'
import type { Registry } from './service.ts'
import type { TableExchange } from './table-exchange.ts'
import { createTableReads } from './table-reads.ts'
import { createSideReads } from './table-side-reads.ts'

/**
 * Time that the store holds a request for changes, in milliseconds; it permits at most 30 s. A long time saves calls to
 * the store. It need not reveal a request that hangs, since the confirmations do (`table-confirmations.ts`).
 */
const LONG_POLL_MS = 25_000
/** Pause after changes, in milliseconds, so that changes in quick succession share one answer. */
export const CHANGE_BATCH_MS = 400
/**
 * Bounds of the pause after a failure, in milliseconds. Rejected calls to the store are charged too, and two of the
 * longest pauses must fit into the time that a host may take to recover from an outage.
 */
const RETRY_MS = { minimum: 150, maximum: 1200 } as const
/**
 * Time that a host acts as a follower after no peer could answer it, in milliseconds. Otherwise a host cut off
 * from its peers would read the full table in each turn.
 */
const FALLBACK_FOLLOWER_MS = 5000

interface FollowOptions extends Omit<FollowedTableOptions, 'notifications' | 'onTableChanged'> {
  store: StorePort
  logger: Logger
  /** Notifies peers of changes, and receives their notifications. */
  notifications: ChangeNotifications
  /** Reads the table from other hosts, and serves it to them. */
  exchange: TableExchange
  /** Confirms the copy, and tells when the store stops answering this host. */
  registry: Pick<Registry, 'followTable' | 'onTableChanged' | 'onStoreUnavailable'>
  /** Pause after changes before the next request, in milliseconds; 0 to receive each change at once. */
  batchMs?: number
  /** Receives a callback that requests a full read of the table. */
  onReadRequest?: (listener: () => void) => void
}

/** A table that is followed until it is closed. */
export interface TableFollower {
  /** The last confirmation that the rows are current. */
  readonly confirmation: TableConfirmation
  /** Stops following. */
  close: () => void
}

/**
 * Follows a table until stopped.
 *
 * @param options - the table, its sources, and the callbacks for changes
 * @returns the follower
 */
export function followTable (options: FollowOptions): TableFollower {
  const { store, table, logger, notifications, exchange, batchMs = 0 } = options
  const followed = createFollowedTable({ ...options, onTableChanged: options.registry.onTableChanged })
  // Hosts that wait for a change here read it from the store if it takes long to arrive.
  const answers = createReceivedAnswers(followed.copy.recheck)
  const reads = createTableReads({ store, table, logger, followed, answers, notifications, exchange, batchMs })
  const { interrupt, requestFullRead } = reads
  const sideReads = createSideReads({
    store, table, logger, followed, answers, notifications, exchange, interrupt, requestFullRead
  })
  const laterReads = createLaterReads({ reads, exchange, followed, newest: () => catchUp.newest })
  const catchUp = createCatchUp({
    table,
    logger,
    followed,
    isReceiving: () => answers.isReceiving,
    readFromHost: sideReads.readFromHost,
    onStillBehind: () => {
      laterReads.preferPeers()
      reads.requestFreshRead()
    }
  })

  exchange.serve(table, {
    copy: followed.copy,
    confirmation: () => followed.confirmation,
    requestFreshRead: reads.requestFreshRead,
    isFollowing: () => reads.isFollowing,
    isReceivingLarge: () => answers.isReceivingLarge
  })
  exchange.onFollowerRoleEnd(reads.interrupt)
  options.registry.onStoreUnavailable(() => {
    if (laterReads.readsStoreFirst()) {
      reads.requestFullRead()
    }
  })
  options.onReadRequest?.(reads.requestFreshRead)
  notifications.onNotified(table, catchUp.learn)
  options.registry.followTable(table, createConfirmedTable({ table, logger, followed, catchUp, sideReads }))

  const failures = createFailureLog(options, () => followed.version)
  let isClosed = false
  const stop = repeat(1, async () => {
    await (followed.copy.version === undefined
      ? readFirst({
        reads, exchange, newest: () => catchUp.newest, isClosed: () => isClosed, onFailure: failures.failed
      })
      : laterReads.readOnce())
    failures.succeeded()
  }, (thrown) => {
    followed.invalidate()
    failures.failed(thrown)
  }, RETRY_MS.minimum, RETRY_MS.maximum)
  return {
    get confirmation () { return followed.confirmation },
    close: () => {
      isClosed = true
      stop()
      reads.interrupt()
    }
  }
}

/** Reads of a table after the first one. */
interface LaterReads {
  /** Whether this host reads the store before it asks peers. */
  readsStoreFirst: () => boolean
  /** Makes the next read ask peers first, since one of them has reported a change that this host lacks. */
  preferPeers: () => void
  readOnce: () => Promise<void>
}

/** Creates the reads after the first one; `newest` returns the newest version that any peer has reported. */
function createLaterReads ({ reads, exchange, followed, newest }: {
  reads: ReturnType<typeof createTableReads>
  exchange: Pick<TableExchange, 'isFollower'>
  followed: Pick<FollowedTable, 'version'>
  newest: () => number
}): LaterReads {
  let prefersPeers = false
  let fallbackFollowerUntil = -Infinity
  const readsStoreFirst = (): boolean => exchange.isFollower() || performance.now() < fallbackFollowerUntil
  const readFromStore = async (): Promise<void> => {
    if (followed.version === undefined) {
      await reads.readFull()
      return
    }
    fallbackFollowerUntil = Math.max(fallbackFollowerUntil, performance.now() + FALLBACK_FOLLOWER_MS)
    await reads.readChanges(followed.version, exchange.isFollower() ? LONG_POLL_MS : FALLBACK_FOLLOWER_MS)
  }
  return {
    readsStoreFirst,
    preferPeers: () => { prefersPeers = true },
    readOnce: async () => {
      if (!readsStoreFirst() || prefersPeers) {
        prefersPeers = false
        await reads.readFromPeer(newest()) || await readFromStore()
        return
      }
      try {
        await readFromStore()
      } catch (thrown) {
        fallbackFollowerUntil = -Infinity
        if (!await reads.readFromPeer(newest())) {
          throw thrown
        }
      }
    }
  }
}

/** Logs the first failure to read a table, and the first success after it. */
function createFailureLog (
  { table, logger }: Pick<FollowOptions, 'table' | 'logger'>, version: () => number | undefined
): { succeeded: () => void, failed: (thrown: unknown) => void } {
  let failing = false
  return {
    succeeded: () => {
      if (failing) {
        failing = false
        logger.log('info', 'feed.recovered', { table, version: version() })
      }
    },
    failed: (thrown) => {
      if (!failing) {
        failing = true
        logger.log('warn', 'feed.unavailable', { table, reason: describeThrown(thrown) })
      }
    }
  }
}
