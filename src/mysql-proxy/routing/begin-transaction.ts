/**
 * Begins transactions: pins a connection to the primary and disables autocommit on it. A begin that loses its
 * connection is retried, because no statement of the transaction has run yet.
 */
import { pause, type Deadline } from '../../core/time/deadline.ts'
import { EMPTY_ANSWER } from '../../mysql/types.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import type { TransactionGroup } from './commit-transaction.ts'
import { transactionLost } from './transaction-table.ts'
import type { HomeReply } from './types.ts'
import { mayRetryBegin } from './what-is-repeated.ts'

/** Delay before a begin is retried, in milliseconds; leaves time for a new primary to be announced. */
const BEGIN_RETRY_DELAY_MS = 20
/** Least time left for a retry, in retry delays: one to wait and one for the begin itself. */
const MINIMUM_DELAYS_LEFT = 2
/** Priority of a begin in the connection queue. */
const TRANSACTION_PRIORITY = 5

/**
 * Begins a transaction on the current primary.
 *
 * @param group - the group and its connections
 * @param transaction - identifier of the transaction, and the service that opens it
 * @param deadline - deadline of the request
 * @returns an empty answer and the name of the upstream
 * @throws RequestError with verdict `not-run`
 */
export async function beginTransaction (
  group: TransactionGroup, transaction: { id: string, service: string }, deadline: Deadline
): Promise<HomeReply> {
  for (;;) {
    try {
      return await beginOnce(group, transaction, deadline)
    } catch (thrown) {
      if (!mayRetryBegin(thrown) || deadline.leftMs < BEGIN_RETRY_DELAY_MS * MINIMUM_DELAYS_LEFT) {
        throw thrown
      }
      await pause(BEGIN_RETRY_DELAY_MS)
    }
  }
}

async function beginOnce (
  { view, pools, table }: TransactionGroup, { id, service }: { id: string, service: string }, deadline: Deadline
): Promise<HomeReply> {
  const target = await view.waitForPrimary(deadline)
  const pool = pools.get(target.view.declaration.name)
  if (pool === undefined) {
    throw transactionLost('its upstream was removed')
  }
  const pinned = await pool.pin({ access: 'write', priority: TRANSACTION_PRIORITY, deadline })
  try {
    await useManualCommit(pinned.client, true, deadline.leftMs)
  } catch (thrown) {
    pinned.release(false)
    throw thrown
  }
  table.add(id, { service, pinned, target })
  return { answer: EMPTY_ANSWER, upstream: target.view.declaration.name }
}
