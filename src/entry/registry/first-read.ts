/**
 * First read of a followed table, without which a starting host serves nobody. It does not wait for the list of hosts,
 * but asks the store at once, and peers as well unless the store answers at once. After a failure it is repeated soon:
 * as soon as the registry has been read, which shows that the store answers again, or after a short pause.
 */
import { pause, withTimeout } from '../../core/time/deadline.ts'
import type { TableExchange } from './table-exchange.ts'
import type { createTableReads } from './table-reads.ts'

/** Time that the store has to answer before peers are asked as well, in milliseconds; it usually takes 8. */
const STORE_HEAD_START_MS = 40
/** Bounds of the pause after a failure while the store answers other reads, in milliseconds. */
const RETRY_PAUSE_MS = { minimum: 50, spread: 50 } as const

/** Options of {@link readFirst}. */
interface FirstReadOptions {
  /** Reads of the table from the store and from peers. */
  reads: Pick<ReturnType<typeof createTableReads>, 'readFull' | 'readFromPeer'>
  exchange: Pick<TableExchange, 'waitForHosts' | 'hasHosts'>
  /** Newest version that other hosts have told of. */
  newest: () => number
  /** Whether the table is no longer followed. */
  isClosed: () => boolean
  /** Called after each failure of the store, with its error. */
  onFailure: (thrown: unknown) => void
}

/**
 * Reads a table that has not been read yet, until that succeeds or the table is no longer followed.
 *
 * @param options - the sources, and what is called on failures
 */
export async function readFirst (options: FirstReadOptions): Promise<void> {
  const { exchange, isClosed } = options
  while (!isClosed() && !await attemptFirstRead(options)) {
    await (exchange.hasHosts()
      ? pause(RETRY_PAUSE_MS.minimum + Math.random() * RETRY_PAUSE_MS.spread)
      : exchange.waitForHosts())
  }
}

/** Asks the store, and a peer as well unless the store answers at once; returns whether either had the table. */
async function attemptFirstRead (
  { reads, exchange, newest, onFailure }: FirstReadOptions
): Promise<boolean> {
  const fromStore = reads.readFull().then(() => true, (thrown: unknown) => {
    onFailure(thrown)
    return false
  })
  if (await withTimeout(fromStore, STORE_HEAD_START_MS) === true) {
    return true
  }
  const fromPeer = exchange.hasHosts() ? reads.readFromPeer(newest()).catch(() => false) : Promise.resolve(false)
  return await isAnyTrue([fromStore, fromPeer])
}

/** Waits until one of the results is true, or all are known. */
async function isAnyTrue (results: Array<Promise<boolean>>): Promise<boolean> {
  return await new Promise((resolve) => {
    results.forEach((result) => { void result.then((value) => value && resolve(true)) })
    void Promise.all(results).then(() => resolve(false))
  })
}
