/** Keeps up with a table of the store: reads it whole, then follows its changes, and starts again when that breaks. */
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { repeat } from '../core/time/repeat.ts'
import type { StorePort, StoreRow } from '../ports/index.ts'

/**
 * Time after which an empty answer to a question for changes comes, in milliseconds. Short, so that a connection that
 * hangs after a partition is noticed while the desired state may still be late.
 */
const FOLLOW_WAIT_MS = 1500
/** Time after which the table is read whole although changes come, in ms: a silent feed hides nothing longer. */
const REREAD_MS = 10_000
/** Pause after a failure, in milliseconds. */
const RETRY_MS = 150

/** Options of {@link followTable}. */
export interface FollowOptions {
  store: StorePort
  table: string
  logger: Logger
  /** Takes the whole table; `askedAt` is when the question was sent, on the steady clock. */
  onRows: (rows: StoreRow[], askedAt: number) => void
  onChanges: (changed: StoreRow[], removed: string[]) => void
  /** Whether the table must be read whole now. */
  wantsReread?: () => boolean
}

/**
 * Follows a table until closed.
 *
 * @param options - the table and who is told
 * @returns stops following
 */
export function followTable (options: FollowOptions): () => void {
  const { store, table, logger, onRows, onChanges, wantsReread = () => false } = options
  let version: number | undefined
  let readAt = -Infinity
  let failing = false

  const readWhole = async (): Promise<void> => {
    const askedAt = performance.now()
    const snapshot = await store.list(table)
    version = snapshot.version
    readAt = askedAt
    onRows(snapshot.rows, askedAt)
  }
  const followOnce = async (after: number): Promise<void> => {
    const changes = await store.follow(table, after, FOLLOW_WAIT_MS)
    if (changes === undefined) {
      logger.log('warn', 'feed.history-lost', { table, version: after })
      version = undefined
      return
    }
    version = changes.version
    if (changes.changed.length + changes.removed.length > 0) {
      onChanges(changes.changed, changes.removed)
    }
  }
  const step = async (): Promise<void> => {
    const stale = performance.now() - readAt > REREAD_MS || wantsReread()
    version === undefined || stale ? await readWhole() : await followOnce(version)
    if (failing) {
      failing = false
      logger.log('info', 'feed.regained', { table, version })
    }
  }
  return repeat(1, step, (thrown) => {
    version = undefined
    if (!failing) {
      failing = true
      logger.log('warn', 'feed.lost', { table, reason: describeThrown(thrown) })
    }
  }, RETRY_MS)
}
