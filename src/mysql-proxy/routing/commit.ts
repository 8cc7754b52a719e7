/**
 * Runs a statement in its own transaction and commits it, with or without a request key, through the ledger's stored
 * procedures on the upstream.
 */
import { RequestError, type Verdict } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { parseLedgerRecord, type KeyedAttempt, type LedgerRecord } from '../ledger/request-key.ts'
import type { Client } from '../../mysql/client.ts'
import type { Answer, DoneAnswer, RowsAnswer, Statement } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import { callProcedure } from '../upstreams/procedures.ts'
import { parseStatus, type UpstreamStatus } from '../upstreams/status.ts'
import type { WriteTarget } from './primary-work.ts'
import type { HomeReply } from './types.ts'

/** A write that the primary has committed and that isn't acknowledged yet. */
export interface CommittedWrite {
  answer: Answer
  position: LogPosition
  replayed: boolean
}

/** Ledger record of a commit, and the primary's status after it. */
interface CommitResult {
  record: LedgerRecord
  status: UpstreamStatus
}

/** A committed statement and its answer. */
interface CommittedStatement extends CommitResult {
  answer: Answer
}

/**
 * Commits the open transaction and inserts its attempt into the ledger atomically. When the key already has a record,
 * the transaction is rolled back.
 *
 * @param client - connection with the open transaction
 * @param attempt - the attempt; without it nothing is inserted into the ledger
 * @param answer - the answer to record
 * @param deadline - deadline of the request
 * @param lostVerdict - verdict of the error when the connection is lost before the answer
 * @returns the ledger record and the primary's status
 */
export async function commitUnderKey (
  client: Client, attempt: KeyedAttempt | undefined, answer: Answer, deadline: Deadline, lostVerdict: Verdict
): Promise<CommitResult> {
  const outcome = answer.type === 'done' ? [answer.affectedRows, answer.insertId] : [answer.rows.length, 0]
  const call = callProcedure('commit', attempt === undefined ? [] : [...ledgerArguments(attempt), ...outcome])
  const committed = await client.run(call, deadline.leftMs, lostVerdict) as RowsAnswer
  return { record: parseLedgerRecord(committed), status: parseStatus(committed) }
}

/**
 * Runs a statement in a transaction of its own.
 *
 * @param client - connection to the upstream
 * @param statement - the statement
 * @param attempt - the attempt; without it nothing is inserted into the ledger
 * @param deadline - deadline of the request
 * @param lostVerdict - verdict of the error when the connection is lost during the commit
 * @returns the answer, the ledger record and the upstream's status
 */
export async function runAndCommit (
  client: Client, statement: Statement, attempt: KeyedAttempt | undefined, deadline: Deadline, lostVerdict: Verdict
): Promise<CommittedStatement> {
  await useManualCommit(client, true, deadline.leftMs)
  const answer = await runOrRollBack(client, statement, deadline)
  return { answer, ...await commitUnderKey(client, attempt, answer, deadline, lostVerdict) }
}

/**
 * Rebuilds the answer of an earlier attempt from its ledger record.
 *
 * @param record - record of the key
 * @param attempt - the later attempt under the same key
 * @returns the recorded answer
 * @throws RequestError `KeyReused` when the record belongs to another request
 */
export function answerFromRecord (record: LedgerRecord, attempt: KeyedAttempt): DoneAnswer {
  if (record.fingerprint !== attempt.fingerprint) {
    throw new RequestError('not-run', 'KeyReused', { key: attempt.key })
  }
  return { type: 'done', affectedRows: record.affectedRows, insertId: record.insertId }
}

/**
 * Lists the arguments that identify an attempt in a call of a ledger procedure.
 *
 * @param attempt - the attempt
 * @returns scope, key, fingerprint, attempt number and current time in milliseconds since the epoch
 */
export function ledgerArguments ({ scope, key, fingerprint, attempt }: KeyedAttempt): Array<string | number> {
  return [scope, key, fingerprint, attempt, Date.now()]
}

/**
 * Converts a committed write to a reply for the caller's proxy.
 *
 * @param committed - the write
 * @param target - primary that committed the write
 * @returns the reply
 */
export function toWriteReply (committed: CommittedWrite, target: WriteTarget): HomeReply {
  return {
    answer: committed.answer,
    floor: { ...committed.position, seenOn: [] },
    upstream: target.view.declaration.name,
    fromReplica: false,
    replayed: committed.replayed
  }
}

async function runOrRollBack (client: Client, statement: Statement, deadline: Deadline): Promise<Answer> {
  try {
    return await client.run(statement, deadline.leftMs, 'not-run')
  } catch (thrown) {
    // If the rollback fails, closing the connection makes the upstream roll back.
    await client.run({ sql: 'ROLLBACK' }, deadline.leftMs, 'not-run').catch(() => client.close())
    throw thrown
  }
}
