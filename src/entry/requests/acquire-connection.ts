/** Waits for a turn at an upstream and for a connection to it; `wait-rules.ts` decides for how long. */
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { connectionWaitMs } from './wait-rules.ts'

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
  const waitMs = connectionWaitMs(greatestWaitMs, inTimeUntil - startedAt)
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
