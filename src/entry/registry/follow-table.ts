/**
 * Keeps up with a table of the store: learns it whole, then its changes, and starts again when that breaks. Few hosts
 * ask the store, the others ask them.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { StorePort, StoreRow } from '../ports/index.ts'
import { createTableCopy } from './table-copy.ts'
import type { ChangeNotifications } from './change-notifications.ts'
import type { TableExchange } from './table-exchange.ts'

/**
 * Time after which an empty answer to a question for changes comes, in milliseconds. Calls to the store are priced, and
 * it takes 30 s at most. A question that hangs is noticed earlier: peers tell of what it does not bring.
 */
const FOLLOW_WAIT_MS = 25_000
/**
 * Pause after changes before the next question, in milliseconds: changes that come in a row are brought by one answer.
 * When 18 upstreams announced themselves one after the other, 71 hosts asked 1,349 times in three seconds, half of all
 * their calls while nothing else happened.
 */
export const GATHER_MS = 400
/**
 * First and greatest pause after a failure, in milliseconds. A store that turns a host away charges for each call; two
 * of the greatest pauses fit into what a host may take to be in contact again after an outage.
 */
const RETRY_MS = { first: 150, greatest: 1200 } as const
/** Time that a change which a peer has told of has to come by the own question, in milliseconds. */
const BEHIND_MS = 250
/**
 * Time for which a host follows the table by itself after nobody could tell it anything, in milliseconds: hosts that
 * are cut off from the others are so for some seconds, and would read the whole table in each turn.
 */
const BY_ITSELF_MS = 5000

/** Options of {@link followTable}. */
interface FollowOptions {
  store: StorePort
  table: string
  logger: Logger
  /** Hears from peers of changes, and tells them. */
  news: ChangeNotifications
  /** Asks other hosts for the table, and lets them ask this one. */
  relay: TableExchange
  /** Takes the whole table; returns whether anything has changed. */
  onRows: (rows: StoreRow[]) => boolean
  onChanges: (changed: StoreRow[], removed: string[]) => void
  /** Calls back when the store has stopped answering this host: a question that waits may hang for long. */
  onStoreLost: (listener: () => void) => void
  /** Pause after changes before the next question, in milliseconds; none where each one counts. */
  gatherMs?: number
  /** Calls back when the table must be read whole now. */
  onReread?: (listener: () => void) => void
}

/**
 * Follows a table until closed.
 *
 * @param options - the table and who is told
 * @returns stops following
 */
export function followTable (options: FollowOptions): () => void {
  const { store, table, logger, news, relay, onRows, onChanges } = options
  const copy = createTableCopy()
  let version: number | undefined
  let failing = false
  let wantsAnew = false
  /**
   * Whether a peer knows of a change that did not come here: its knowledge is nearer than a store that may be silent.
   */
  let toldOfMore = false
  let byItselfUntil = -Infinity
  let waiting = new AbortController()
  const isByItself = (): boolean => relay.isFollower() || performance.now() < byItselfUntil
  const startAgain = (): void => {
    version = undefined
    waiting.abort()
  }
  const readAnew = (): void => {
    wantsAnew = true
    startAgain()
  }
  relay.serve(table, copy, readAnew)
  relay.onRelieved(() => waiting.abort())
  options.onStoreLost(() => {
    if (isByItself()) {
      startAgain()
    }
  })
  options.onReread?.(readAnew)
  news.onTold(table, (told, peer) => {
    void pause(BEHIND_MS).then(() => {
      if (version !== undefined && version < told) {
        logger.log('info', 'feed.behind', { table, version, told, peer })
        toldOfMore = true
        readAnew()
      }
    })
  })

  /** Who starts needs no news of what stood before; later each host tells what its own question has brought. */
  let readBefore = false
  const takeWhole = (rows: StoreRow[], asOf: number, askedAt?: number): void => {
    version = asOf
    copy.replace(rows, asOf, askedAt)
    const changed = onRows(rows)
    if (changed && readBefore) {
      news.tell(table, Math.max(0, ...rows.map((row) => row.version)))
    }
    readBefore = true
  }
  const takeChanges = (changed: StoreRow[], removed: string[], asOf: number): void => {
    version = asOf
    copy.update(changed, removed, asOf)
    if (changed.length + removed.length > 0) {
      onChanges(changed, removed)
    }
  }
  const readWhole = async (): Promise<void> => {
    wantsAnew = false
    const askedAt = performance.now()
    const snapshot = await store.list(table)
    takeWhole(snapshot.rows, snapshot.version, askedAt)
  }
  const followOnce = async (after: number): Promise<void> => {
    waiting = new AbortController()
    const { signal } = waiting
    const waitMs = relay.isFollower() ? FOLLOW_WAIT_MS : BY_ITSELF_MS
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
      version = undefined
      return
    }
    takeChanges(changes.changed, changes.removed, changes.version)
    if (changes.changed.length + changes.removed.length > 0) {
      news.tell(table, changes.newest)
      await pause(options.gatherMs ?? 0)
    }
  }
  /** Learns from a host that follows the table; returns whether one could tell. */
  const learnFromPeer = async (): Promise<boolean> => {
    const before = version
    const isAnew = wantsAnew
    wantsAnew = false
    const changes = isAnew ? await relay.askAnew(table) : await relay.ask(table, before)
    if (changes === undefined || version !== before) {
      return changes !== undefined
    }
    changes.isWhole
      ? takeWhole(changes.rows, changes.version)
      : takeChanges(changes.rows, changes.removed, changes.version)
    return true
  }
  const learnFromStore = async (): Promise<void> => {
    if (version === undefined) {
      await readWhole()
      return
    }
    byItselfUntil = Math.max(byItselfUntil, performance.now() + BY_ITSELF_MS)
    await followOnce(version)
  }
  /** Turns to the store first, or to peers; then to the others when these can't tell. */
  const step = async (): Promise<void> => {
    await relay.hostsKnown()
    if (!isByItself() || toldOfMore) {
      toldOfMore = false
      await learnFromPeer() || await learnFromStore()
      return
    }
    try {
      await learnFromStore()
    } catch (thrown) {
      byItselfUntil = -Infinity
      if (!await learnFromPeer()) {
        throw thrown
      }
    }
  }
  const turn = async (): Promise<void> => {
    await step()
    if (failing) {
      failing = false
      logger.log('info', 'feed.regained', { table, version })
    }
  }
  const stop = repeat(1, turn, (thrown) => {
    version = undefined
    if (!failing) {
      failing = true
      logger.log('warn', 'feed.lost', { table, reason: describeThrown(thrown) })
    }
  }, RETRY_MS.first, RETRY_MS.greatest)
  return () => {
    stop()
    waiting.abort()
  }
}
