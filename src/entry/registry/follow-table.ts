/**
 * Follows a table of the store. Followers read the store first, and other followers if that fails. All other hosts
 * read from followers first, to save calls to the store; if none can answer, they act as followers for
 * {@link FALLBACK_FOLLOWER_MS}. A host that misses a change of which a peer has notified it reads from peers, because
 * its own connection to the store may hang. A peer's answer must include the newest version that any peer has reported.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { StorePort } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { createFollowedTable, type FollowedTableOptions, type TableConfirmation } from './followed-table.ts'
import type { TableExchange } from './table-exchange.ts'
import { createTableReads } from './table-reads.ts'

/**
 * Time that the store holds a request for changes, in milliseconds; it permits at most 30 s. A long time saves calls to
 * the store, and notifications from peers reveal a request that hangs.
 */
const LONG_POLL_MS = 25_000
/** Pause after changes, in milliseconds, so that changes in quick succession share one answer. */
export const CHANGE_BATCH_MS = 400
/**
 * Bounds of the pause after a failure, in milliseconds. Rejected calls to the store are charged too, and two of the
 * longest pauses must fit into the time that a host may take to recover from an outage.
 */
const RETRY_MS = { minimum: 150, maximum: 1200 } as const
/** Time within which this host's own request must return a change after a peer's notification, in milliseconds. */
const CHANGE_GRACE_MS = 250
/**
 * Time that a host acts as a follower after no peer could answer it, in milliseconds. Otherwise a host cut off
 * from its peers would read the full table in each turn.
 */
const FALLBACK_FOLLOWER_MS = 5000

interface FollowOptions extends Omit<FollowedTableOptions, 'notifications'> {
  store: StorePort
  logger: Logger
  /** Notifies peers of changes, and receives their notifications. */
  notifications: ChangeNotifications
  /** Reads the table from other hosts, and serves it to them. */
  exchange: TableExchange
  /** Adds a listener that is called when the store stops answering this host; a pending long poll may hang. */
  onStoreUnavailable: (listener: () => void) => void
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
  const followed = createFollowedTable(options)
  const reads = createTableReads({ store, table, logger, followed, notifications, exchange, batchMs })
  /** Whether a peer has reported a change that this host lacks, so that the next read prefers peers. */
  let preferPeers = false
  /** Newest version that peers have reported; kept when the followed version is invalidated. */
  let newestNotified = -1
  let fallbackFollowerUntil = -Infinity
  const readsStoreFirst = (): boolean => exchange.isFollower() || performance.now() < fallbackFollowerUntil

  exchange.serve(table, {
    copy: followed.copy,
    confirmation: () => followed.confirmation,
    requestFreshRead: reads.requestFreshRead,
    isFollowing: () => reads.isFollowing
  })
  exchange.onFollowerRoleEnd(reads.interrupt)
  options.onStoreUnavailable(() => {
    if (readsStoreFirst()) {
      reads.requestFullRead()
    }
  })
  options.onReadRequest?.(reads.requestFreshRead)
  notifications.onNotified(table, (notifiedVersion, peer) => {
    newestNotified = Math.max(newestNotified, notifiedVersion)
    void pause(CHANGE_GRACE_MS).then(() => {
      // Uses the version of the copy, because a failure of the store invalidates the followed version.
      const { version } = followed.copy
      if (version !== undefined && version < notifiedVersion) {
        logger.log('info', 'feed.behind', { table, version, told: notifiedVersion, peer })
        preferPeers = true
        reads.requestFreshRead()
      }
    })
  })

  const readFromStore = async (): Promise<void> => {
    if (followed.version === undefined) {
      await reads.readFull()
      return
    }
    fallbackFollowerUntil = Math.max(fallbackFollowerUntil, performance.now() + FALLBACK_FOLLOWER_MS)
    await reads.readChanges(followed.version, exchange.isFollower() ? LONG_POLL_MS : FALLBACK_FOLLOWER_MS)
  }
  const readOnce = async (): Promise<void> => {
    await exchange.waitForHosts()
    if (!readsStoreFirst() || preferPeers) {
      preferPeers = false
      await reads.readFromPeer(newestNotified) || await readFromStore()
      return
    }
    try {
      await readFromStore()
    } catch (thrown) {
      fallbackFollowerUntil = -Infinity
      if (!await reads.readFromPeer(newestNotified)) {
        throw thrown
      }
    }
  }
  const failures = createFailureLog(options, () => followed.version)
  const stop = repeat(1, async () => {
    await readOnce()
    failures.succeeded()
  }, (thrown) => {
    followed.invalidate()
    failures.failed(thrown)
  }, RETRY_MS.minimum, RETRY_MS.maximum)
  return {
    get confirmation () { return followed.confirmation },
    close: () => {
      stop()
      reads.interrupt()
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
