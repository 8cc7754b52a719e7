/**
 * Begins transactions: pins a connection to the primary and turns autocommit off there. Repeats a begin whose
 * connection broke, since nothing has run then (`what-is-repeated.ts`).
 */
import { pause, type Deadline } from '../../core/time/deadline.ts'
import { EMPTY_ANSWER } from '../../mysql/types.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import type { TransactionGroup } from './commit-transaction.ts'
import { transactionLost } from './transaction-table.ts'
import type { HomeReply } from './types.ts'
import { mayRepeatBegin } from './what-is-repeated.ts'

/** Pause before a begin is repeated, in milliseconds, in which a new primary may be announced. */
const BEGIN_RETRY_MS = 20
/** A begin is repeated while this many pauses are left, so that one fits in with time to run. */
const PAUSES_LEFT = 2
/** Priority of a begin in the queue for connections. */
const TRANSACTION_PRIORITY = 5

/**
 * Begins a transaction on the current primary.
 *
 * @param group - the group
 * @param transaction - identity and service
 * @param deadline - when to give up
 * @returns the reply
 * @throws RequestError with verdict `not-run`
 */
export async function beginTransaction (
  group: TransactionGroup, transaction: { id: string, service: string }, deadline: Deadline
): Promise<HomeReply> {
  for (;;) {
    try {
      return await beginOnce(group, transaction, deadline)
    } catch (thrown) {
      if (!mayRepeatBegin(thrown) || deadline.leftMs < BEGIN_RETRY_MS * PAUSES_LEFT) {
        throw thrown
      }
      await pause(BEGIN_RETRY_MS)
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
