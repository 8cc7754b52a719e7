/**
 * Waits for a turn at an upstream and for a connection to it.
 *
 * How long may a request wait? Inputs, in milliseconds: the greatest wait that its caller allows, and the time left for
 * an answer in time. The smaller of the first and {@link QUEUE_SHARE} of the second, but {@link QUEUE_LEAST_MS} for the
 * second at least: a request that waits longer is late itself, and makes those behind it late too.
 */
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { EntryContext, RequestScope } from './types.ts'

/**
 * Part of a request's time for which it waits for a primary, or for a connection, before it is refused. Chosen, not
 * measured.
 */
export const WAIT_SHARE = 0.45
/**
 * Part of the time that is left for an answer in time for which a request waits for a connection. Measured at an
 * overloaded primary: requests that wait longer are late, and make those behind them late too.
 */
const QUEUE_SHARE = 0.5
/** Least time for which a request waits for a connection, in milliseconds: opening one takes 12 ms and a round trip. */
const QUEUE_LEAST_MS = 40

/** A connection whose user has its turn at the upstream. */
interface Turn {
  lease: ConnectionLease
  /** Ends the turn; the connection may be kept for a transaction. */
  leave: () => void
}

/**
 * Waits for a turn and a connection, and measures the wait.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param used - the upstream
 * @param greatestWaitMs - greatest wait, in milliseconds
 * @returns the turn and the connection
 * @throws RequestError with verdict `not-run`
 */
export async function acquireConnection (
  { measures }: Pick<EntryContext, 'measures'>, { organisation, values, priority, costMs, inTimeUntil }: RequestScope,
  { pool, queue }: UsedUpstream, greatestWaitMs: number
): Promise<Turn> {
  const startedAt = performance.now()
  const inTimeMs = Math.max(QUEUE_LEAST_MS, (inTimeUntil - startedAt) * QUEUE_SHARE)
  const waitMs = Math.min(greatestWaitMs, inTimeMs)
  let leave = (): void => {}
  try {
    leave = await queue.enter({ priority, costMs, waitMs })
    const leftMs = Math.max(1, waitMs - (performance.now() - startedAt))
    const lease = await pool.acquire({ organisation, values, priority, waitMs: leftMs })
    measures.queue('done', performance.now() - startedAt)
    return { lease, leave }
  } catch (thrown) {
    leave()
    measures.queue('failed', performance.now() - startedAt)
    throw thrown
  }
}
