/** Acquires an execution slot and a pooled connection at an upstream. `wait-rules.ts` bounds the wait. */
import {
  OPEN_TRANSACTION_PRIORITY, type ConnectionLease, type QueueRequest, type UpstreamResources
} from '../pools/index.ts'
import { addTimeSpent } from './time-spent.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { connectionWaitMs } from './wait-rules.ts'

/** A leased connection together with an execution slot in the upstream's queue. */
interface AcquiredConnection {
  lease: ConnectionLease
  /** Frees the slot. The lease stays valid, so that a transaction can keep its connection. */
  releaseSlot: () => void
}

/**
 * Waits for a slot and a connection, and records the wait in the metrics.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param resources - pool and queue of the upstream
 * @param maximumWaitMs - maximum wait, in milliseconds
 * @returns the lease and the slot
 * @throws RequestError with verdict `not-run`
 */
export async function acquireConnection (
  { metrics }: Pick<EntryContext, 'metrics'>, scope: RequestScope, { pool, queue }: UpstreamResources,
  maximumWaitMs: number
): Promise<AcquiredConnection> {
  const { organisation, values, priority, softDeadline, beginsTransaction = false } = scope
  const startedAt = performance.now()
  const waitMs = connectionWaitMs(maximumWaitMs, softDeadline - startedAt)
  const leftMs = (): number => Math.max(1, waitMs - (performance.now() - startedAt))
  let releaseSlot = (): void => {}
  let lease: ConnectionLease | undefined
  const acquire = async (): Promise<ConnectionLease> =>
    await pool.acquire({ organisation, values, priority, waitMs: leftMs(), beginsTransaction })
  const enter = async (allowedMs: number, rank = priority): Promise<() => void> =>
    await queue.enter({ ...queueRequestOf(scope, allowedMs), priority: rank })
  try {
    releaseSlot = await enter(waitMs)
    if (pool.mustWait({ organisation, beginsTransaction })) {
      // With its slot it would block the steps of the transactions that hold the connections.
      releaseSlot()
      lease = await acquire()
      // Its turn has come once, and it holds a connection: requests ahead of it could wait for that with all slots.
      releaseSlot = await enter(leftMs(), OPEN_TRANSACTION_PRIORITY)
    }
    lease ??= await acquire()
    const waitedMs = performance.now() - startedAt
    metrics.queue('done', waitedMs)
    addTimeSpent(scope, 'queueMs', waitedMs)
    return { lease, releaseSlot }
  } catch (thrown) {
    lease?.release()
    releaseSlot()
    metrics.queue('failed', performance.now() - startedAt)
    throw thrown
  }
}

/**
 * Returns a request as the queue of an upstream sees it.
 *
 * @param scope - the request
 * @param waitMs - maximum wait, in milliseconds
 * @returns the statement to queue
 */
export function queueRequestOf (
  { organisation = '', priority, costMs, softDeadline }: RequestScope, waitMs: number
): QueueRequest {
  return { organisation, priority, costMs, waitMs, dueInMs: softDeadline - performance.now() }
}
