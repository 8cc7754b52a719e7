/**
 * Keeps up with a table of the store, and decides whom this host asks for it next: the store, or a host that follows
 * the table.
 *
 * - Inputs: whether this host is a follower, how long it still acts as one (milliseconds, steady clock), and whether a
 *   peer has notified it of a version that it has not got.
 * - Rule: a follower asks the store first, and peers when the store fails. Any other host asks peers first, and the
 *   store when none can answer; then it acts as a follower for {@link ACT_AS_FOLLOWER_MS}. A host whose own question
 *   has not returned a change within {@link BEHIND_MS} of a notification asks peers first, whoever it is.
 *   What a peer answers counts only when it is as of the newest version that any has notified.
 * - Why: calls to the store are priced, and the connection of a question to the store may go silent for good. Hosts
 *   that the store rejects would go on telling each other that nothing is new.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { StorePort } from '../ports/index.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import { createFollowedTable, type FollowedTableOptions } from './followed-table.ts'
import type { TableExchange } from './table-exchange.ts'
import { createTableReads } from './table-reads.ts'

/**
 * Time after which an empty answer to a question for changes comes, in milliseconds. Calls to the store are priced, and
 * it takes 30 s at most. A question that hangs is noticed earlier, by the notifications of peers.
 */
const FOLLOW_WAIT_MS = 25_000
/**
 * Pause after changes before the next question, in milliseconds: one answer returns changes in quick succession.
 * Upstreams that announce themselves one after the other would have every host ask again after each.
 */
export const GATHER_MS = 400
/**
 * First and greatest pause after a failure, in milliseconds. A store that rejects a host charges for each call; two of
 * the greatest pauses fit into what a host may take to be in contact again after an outage.
 */
const RETRY_MS = { first: 150, greatest: 1200 } as const
/** Time that the own question has to return a change after a peer's notification, in milliseconds. */
const BEHIND_MS = 250
/**
 * Time for which a host acts as a follower after no peer could answer it, in milliseconds: hosts that are cut off from
 * the others are so for some seconds, and would read the whole table in each turn.
 */
const ACT_AS_FOLLOWER_MS = 5000

/** Options of {@link followTable}. */
interface FollowOptions extends Omit<FollowedTableOptions, 'notifications'> {
  store: StorePort
  logger: Logger
  /** Notifies peers of changes, and receives their notifications. */
  notifications: ChangeNotifications
  /** Asks other hosts for the table, and lets them ask this one. */
  exchange: TableExchange
  /** Calls back when the store has stopped answering this host: a question that waits may hang for long. */
  onStoreLost: (listener: () => void) => void
  /** Pause after changes before the next question, in milliseconds; none where each one counts. */
  gatherMs?: number
  /** Calls back when the table must be read whole now. */
  onReread?: (listener: () => void) => void
}

/**
 * Follows a table until stopped.
 *
 * @param options - the table, and who is called when it changes
 * @returns stops following
 */
export function followTable (options: FollowOptions): () => void {
  const { store, table, logger, notifications, exchange, gatherMs = 0 } = options
  const followed = createFollowedTable(options)
  const reads = createTableReads({ store, table, logger, followed, notifications, exchange, gatherMs })
  /** Whether a peer knows of a change that this host has not got: a peer's answer is surer than a silent store's. */
  let isPeerAhead = false
  /** Newest version that peers have notified this host of; it outlasts a version that is forgotten meanwhile. */
  let newestNotified = -1
  let actsAsFollowerUntil = -Infinity
  const asksStoreFirst = (): boolean => exchange.isFollower() || performance.now() < actsAsFollowerUntil

  exchange.serve(table, { copy: followed.copy, readAnew: reads.readAnew, isFollowing: () => reads.isFollowing })
  exchange.onRelieved(reads.interrupt)
  options.onStoreLost(() => {
    if (asksStoreFirst()) {
      reads.startAgain()
    }
  })
  options.onReread?.(reads.readAnew)
  notifications.onNotified(table, (notifiedVersion, peer) => {
    newestNotified = Math.max(newestNotified, notifiedVersion)
    void pause(BEHIND_MS).then(() => {
      // The copy's version: the one to ask from is forgotten whenever the store fails.
      const { version } = followed.copy
      if (version !== undefined && version < notifiedVersion) {
        logger.log('info', 'feed.behind', { table, version, told: notifiedVersion, peer })
        isPeerAhead = true
        reads.readAnew()
      }
    })
  })

  const readFromStore = async (): Promise<void> => {
    if (followed.version === undefined) {
      await reads.readWhole()
      return
    }
    actsAsFollowerUntil = Math.max(actsAsFollowerUntil, performance.now() + ACT_AS_FOLLOWER_MS)
    await reads.readChanges(followed.version, exchange.isFollower() ? FOLLOW_WAIT_MS : ACT_AS_FOLLOWER_MS)
  }
  const readOnce = async (): Promise<void> => {
    await exchange.hostsKnown()
    if (!asksStoreFirst() || isPeerAhead) {
      isPeerAhead = false
      await reads.readFromPeer(newestNotified) || await readFromStore()
      return
    }
    try {
      await readFromStore()
    } catch (thrown) {
      actsAsFollowerUntil = -Infinity
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
    followed.forgetVersion()
    failures.failed(thrown)
  }, RETRY_MS.first, RETRY_MS.greatest)
  return () => {
    stop()
    reads.interrupt()
  }
}

/** Logs when reading a table begins to fail and when it succeeds again, not each failure. */
function createFailureLog (
  { table, logger }: Pick<FollowOptions, 'table' | 'logger'>, version: () => number | undefined
): { succeeded: () => void, failed: (thrown: unknown) => void } {
  let failing = false
  return {
    succeeded: () => {
      if (failing) {
        failing = false
        logger.log('info', 'feed.regained', { table, version: version() })
      }
    },
    failed: (thrown) => {
      if (!failing) {
        failing = true
        logger.log('warn', 'feed.lost', { table, reason: describeThrown(thrown) })
      }
    }
  }
}
