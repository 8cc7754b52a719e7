/**
 * Commits transactions. A transaction that may have written is committed under its request key and waits for
 * replication; when the answer is lost, the outcome is settled by that key (`settle.ts`).
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { EMPTY_ANSWER } from '../../mysql/types.ts'
import type { KeyedAttempt } from '../ledger/request-key.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { logEnd } from '../upstreams/status.ts'
import { waitForAcknowledgement } from './acknowledgement.ts'
import { commitUnderKey, answerFromRecord } from './commit.ts'
import { settleOutcome } from './settle.ts'
import { transactionLost, type OpenTransaction, type TransactionTable } from './transaction-table.ts'
import type { CommitRequest, HomeReply, SettleRequest } from './types.ts'
import { hasUnknownOutcome } from './what-is-repeated.ts'

/** A group with its connection pools and open transactions. */
export interface TransactionGroup {
  view: GroupView
  pools: Map<string, ConnectionPool>
  table: TransactionTable
}

/** Kind under which a commit is acknowledged, and under which its outcome is settled. */
export const COMMIT_KIND: Kind = {
  access: 'write',
  acknowledgement: 'replicated',
  repeatable: false,
  maximumAgeMs: 0,
  deadlineMs: 5000,
  priority: 9
}

/**
 * Commits a transaction.
 *
 * @param group - the group and its open transactions
 * @param request - the transaction and its request key
 * @param deadline - deadline of the request
 * @returns the reply; when the transaction wrote, with the log position that the session has reached
 * @throws RequestError whose verdict states whether the transaction may have committed
 */
export async function commitTransaction (
  group: TransactionGroup, request: CommitRequest, deadline: Deadline
): Promise<HomeReply> {
  const { table } = group
  const id = request.transactionId
  const attempt = toKeyedAttempt(request)
  try {
    const reply = await table.runStep(id, async (transaction) =>
      await commitStep(group.view, transaction, { writes: request.writes, attempt, deadline }))
    table.end(id, true)
    return reply
  } catch (thrown) {
    table.end(id, false)
    if (hasUnknownOutcome(thrown)) {
      return await settleAttempt(group, attempt, deadline)
    }
    if (thrown instanceof RequestError && thrown.entry === 'StatementFailed') {
      throw transactionLost(thrown.message)
    }
    throw thrown
  }
}

/**
 * Determines whether a transaction committed, after its home became unreachable.
 *
 * @param group - the group
 * @param request - key and fingerprint of the transaction
 * @param deadline - deadline of the request
 * @returns the recorded answer when it committed
 * @throws RequestError as {@link settleOutcome}
 */
export async function settleTransaction (
  group: TransactionGroup, request: SettleRequest, deadline: Deadline
): Promise<HomeReply> {
  return await settleAttempt(group, toKeyedAttempt(request), deadline)
}

async function settleAttempt (
  { view, pools }: TransactionGroup, attempt: KeyedAttempt, deadline: Deadline
): Promise<HomeReply> {
  return await settleOutcome({ view, pools, kind: COMMIT_KIND, deadline }, attempt)
}

async function commitStep (
  view: GroupView,
  { pinned, target }: OpenTransaction,
  { writes, attempt, deadline }: { writes: boolean, attempt: KeyedAttempt, deadline: Deadline }
): Promise<HomeReply> {
  const upstream = target.view.declaration.name
  if (!writes) {
    await pinned.client.run({ sql: 'COMMIT' }, deadline.leftMs, 'not-run')
    return { answer: EMPTY_ANSWER, upstream }
  }
  const { record, status } = await commitUnderKey(pinned.client, attempt, EMPTY_ANSWER, deadline, 'may-have-run')
  const replayed = record.outcome === 'exists'
  if (replayed && record.state === 'tombstone') {
    throw transactionLost('an earlier attempt under its key was given up; send the transaction again under a new key')
  }
  if (replayed) {
    answerFromRecord(record, attempt)
  }
  await waitForAcknowledgement({ view, kind: COMMIT_KIND, deadline }, target, logEnd(status))
  return { answer: EMPTY_ANSWER, floor: { ...logEnd(status), seenOn: [] }, upstream, replayed }
}

function toKeyedAttempt ({ service, key, fingerprint }: CommitRequest | SettleRequest): KeyedAttempt {
  return { scope: service, key, fingerprint, attempt: 1 }
}
