/** Ledger procedures that ensure a request runs at most once. */
import { Buffer } from 'node:buffer'
import type { UpstreamStatus } from '../../mysql-proxy/upstreams/status.ts'
import type { RowsAnswer, Statement } from '../../mysql/types.ts'
import type { UpstreamTransaction } from './upstream-transaction.ts'
import type { Upstream } from './upstream.ts'
import { textColumn } from '../../mysql/answer-writer.ts'

/** A request key and one attempt to run the request. */
export interface LedgerAttempt {
  scope: string
  key: string
  fingerprint: string
  attempt: number
  createdAt: number
  /** Result of the request, recorded with its key. */
  affectedRows: number
  insertId: number
}

/** A ledger record, as the procedures return it. */
interface LedgerRow {
  state: string
  fingerprint: string
  attempt: number
  affectedRows: number
  insertId: number
}

const FIND = `SELECT state, fingerprint, attempt, affected_rows AS affectedRows, insert_id AS insertId
  FROM worksward_ledger WHERE scope = ? AND request_key = ?`

/**
 * Records an attempt in the ledger within the open transaction.
 *
 * @param transaction - the transaction
 * @param attempt - request key and attempt
 * @returns the existing record when it prevents the attempt, or undefined when the attempt may commit
 */
export function enterAttempt (transaction: UpstreamTransaction, attempt: LedgerAttempt): LedgerRow | undefined {
  const existing = findRow(transaction, attempt)
  if (existing === undefined) {
    transaction.run(insertRow(attempt, 'done'))
    return undefined
  }
  const mayTakeOver = existing.state === 'tombstone' && existing.attempt < attempt.attempt &&
    existing.fingerprint === attempt.fingerprint
  if (!mayTakeOver) {
    return existing
  }
  transaction.run({
    sql: `UPDATE worksward_ledger SET state = 'done', attempt = ?, affected_rows = ?, insert_id = ?
      WHERE scope = ? AND request_key = ?`,
    values: [attempt.attempt, attempt.affectedRows, attempt.insertId, attempt.scope, attempt.key]
  })
  return undefined
}

/**
 * Contests an attempt: inserts a tombstone that prevents its commit, unless it has already committed.
 *
 * @param upstream - the primary
 * @param attempt - request key and attempt
 * @returns the resulting record
 */
export async function contestAttempt (upstream: Upstream, attempt: LedgerAttempt): Promise<LedgerRow> {
  const transaction = await upstream.begin()
  try {
    const existing = findRow(transaction, attempt)
    if (existing === undefined) {
      transaction.run(insertRow(attempt, 'tombstone'))
    } else if (existing.state === 'tombstone' && existing.attempt < attempt.attempt) {
      transaction.run({
        sql: 'UPDATE worksward_ledger SET attempt = ? WHERE scope = ? AND request_key = ?',
        values: [attempt.attempt, attempt.scope, attempt.key]
      })
    }
    const row = findRow(transaction, attempt)!
    transaction.commit()
    return row
  } finally {
    transaction.rollback()
  }
}

/**
 * Builds the statement that deletes old records.
 *
 * @param before - exclusive upper bound of the creation time, in milliseconds since the epoch
 * @param limit - maximum number of records to delete
 * @returns the statement
 */
export function sweepStatement (before: number, limit: number): Statement {
  return {
    sql: `DELETE FROM worksward_ledger WHERE rowid IN
      (SELECT rowid FROM worksward_ledger WHERE created_at < ? LIMIT ?)`,
    values: [before, limit]
  }
}

/**
 * Builds the answer of a ledger procedure.
 *
 * @param outcome - `entered`, `exists` for an existing record, or `absent`
 * @param status - the upstream's status, included in the answer
 * @param row - the record, if any
 * @returns the answer
 */
export function ledgerAnswer (
  outcome: 'entered' | 'exists' | 'absent', status: UpstreamStatus, row?: LedgerRow
): RowsAnswer {
  return rowAnswer({
    ...status,
    outcome,
    state: row?.state ?? '',
    fingerprint: row?.fingerprint ?? '',
    attempt: row?.attempt ?? 0,
    affectedRows: row?.affectedRows ?? 0,
    insertId: row?.insertId ?? 0
  })
}

/**
 * Builds an answer with a single row.
 *
 * @param values - values by column name
 * @returns the answer
 */
export function rowAnswer (values: Record<string, string | number | boolean>): RowsAnswer {
  const cells = Object.values(values).map((value) =>
    Buffer.from(String(typeof value === 'boolean' ? Number(value) : value)))
  return { type: 'rows', columns: Object.keys(values).map(textColumn), rows: [cells] }
}

/**
 * Finds the record of a key.
 *
 * @param transaction - transaction to read in
 * @param attempt - scope and key
 * @returns the record, or undefined when there is none
 */
export function findRow (transaction: Pick<UpstreamTransaction, 'run'>, { scope, key }: LedgerAttempt): LedgerRow | undefined {
  const answer = transaction.run({ sql: FIND, values: [scope, key] })
  const row = answer.type === 'rows' ? answer.rows[0] : undefined
  if (row === undefined) {
    return undefined
  }
  const [state, fingerprint, attempt, affectedRows, insertId] = row.map((cell) => cell?.toString() ?? '')
  return {
    state: state!,
    fingerprint: fingerprint!,
    attempt: Number(attempt),
    affectedRows: Number(affectedRows),
    insertId: Number(insertId)
  }
}

function insertRow (attempt: LedgerAttempt, state: 'done' | 'tombstone'): Statement {
  return {
    sql: `INSERT INTO worksward_ledger
      (scope, request_key, fingerprint, state, attempt, affected_rows, insert_id, created_at)
      VALUES (?, ?, ?, ?, ?, ?, ?, ?)`,
    values: [
      attempt.scope, attempt.key, attempt.fingerprint, state, attempt.attempt, attempt.affectedRows, attempt.insertId,
      attempt.createdAt
    ]
  }
}
