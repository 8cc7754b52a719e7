/**
 * Runs a statement in a transaction of its own and commits it, under a request key or without one. Relies on the
 * ledger's procedures of the upstream.
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

/** A write that has committed on the primary and waits for its acknowledgement. */
export interface CommittedWrite {
  answer: Answer
  place: LogPosition
  replayed: boolean
}

/** Result of a commit: the record of the ledger, and the primary's status after it. */
interface CommitResult {
  record: LedgerRecord
  status: UpstreamStatus
}

/** A committed statement. */
interface CommittedStatement extends CommitResult {
  answer: Answer
}

/**
 * Commits the open transaction and enters its attempt in the ledger, in one step. When the key is taken, the
 * transaction is rolled back.
 *
 * @param client - the connection
 * @param attempt - the attempt; nothing is entered when absent
 * @param answer - the outcome to record
 * @param deadline - when to give up
 * @param lostVerdict - the verdict to give when the answer is lost
 * @returns the result of the commit
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
 * @param client - the connection
 * @param statement - the statement
 * @param attempt - its attempt; nothing is entered in the ledger when absent
 * @param deadline - when to give up
 * @param lostVerdict - the verdict to give when the answer to the commit is lost
 * @returns the answer and the result of the commit
 */
export async function runAndCommit (
  client: Client, statement: Statement, attempt: KeyedAttempt | undefined, deadline: Deadline, lostVerdict: Verdict
): Promise<CommittedStatement> {
  await useManualCommit(client, true, deadline.leftMs)
  const answer = await runOrRollBack(client, statement, deadline)
  return { answer, ...await commitUnderKey(client, attempt, answer, deadline, lostVerdict) }
}

/**
 * Decides by the standing record of a key.
 *
 * @param record - the record
 * @param attempt - the attempt that met it
 * @returns the recorded answer
 * @throws RequestError with verdict `not-run`
 */
export function replayRecord (record: LedgerRecord, attempt: KeyedAttempt): DoneAnswer {
  if (record.fingerprint !== attempt.fingerprint) {
    throw new RequestError('not-run', 'KeyReused', { key: attempt.key })
  }
  return { type: 'done', affectedRows: record.affectedRows, insertId: record.insertId }
}

/**
 * Lists the arguments that name an attempt in a ledger procedure.
 *
 * @param attempt - the attempt
 * @returns scope, key, fingerprint, attempt and time
 */
export function ledgerArguments ({ scope, key, fingerprint, attempt }: KeyedAttempt): Array<string | number> {
  return [scope, key, fingerprint, attempt, Date.now()]
}

/**
 * Describes a committed write to the caller's proxy.
 *
 * @param committed - the write
 * @param target - the primary that has it
 * @returns the reply
 */
export function describeWrite (committed: CommittedWrite, target: WriteTarget): HomeReply {
  return {
    answer: committed.answer,
    floor: { ...committed.place, seenOn: [] },
    upstream: target.view.declaration.name,
    fromReplica: false,
    replayed: committed.replayed
  }
}

async function runOrRollBack (client: Client, statement: Statement, deadline: Deadline): Promise<Answer> {
  try {
    return await client.run(statement, deadline.leftMs, 'not-run')
  } catch (thrown) {
    // A connection that cannot roll back is closed, and the upstream rolls back with it.
    await client.run({ sql: 'ROLLBACK' }, deadline.leftMs, 'not-run').catch(() => client.close())
    throw thrown
  }
}
