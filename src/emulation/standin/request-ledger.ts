/** The procedures by which a request runs at most once. */
import { Buffer } from 'node:buffer'
import type { UpstreamStatus } from '../../mysql-proxy/upstreams/status.ts'
import type { RowsAnswer, Statement } from '../../mysql/types.ts'
import type { UpstreamTransaction } from './upstream-transaction.ts'
import type { Upstream } from './upstream.ts'
import { textColumn } from '../../mysql/answer-writer.ts'

/** A key and the attempt made under it. */
export interface LedgerAttempt {
  scope: string
  key: string
  fingerprint: string
  attempt: number
  createdAt: number
  /** Outcome of the request, recorded with its key. */
  affectedRows: number
  insertId: number
}

/** A row of the ledger, as the procedures return it. */
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
 * Enters an attempt in the ledger, inside the open transaction.
 *
 * @param transaction - the transaction
 * @param attempt - key and attempt
 * @returns the standing record when the key is taken, or undefined when the attempt may run
 */
export function enterAttempt (transaction: UpstreamTransaction, attempt: LedgerAttempt): LedgerRow | undefined {
  const standing = findRow(transaction, attempt)
  if (standing === undefined) {
    transaction.run(insertRow(attempt, 'done'))
    return undefined
  }
  const mayTakeOver = standing.state === 'tombstone' && standing.attempt < attempt.attempt &&
    standing.fingerprint === attempt.fingerprint
  if (!mayTakeOver) {
    return standing
  }
  transaction.run({
    sql: `UPDATE worksward_ledger SET state = 'done', attempt = ?, affected_rows = ?, insert_id = ?
      WHERE scope = ? AND request_key = ?`,
    values: [attempt.attempt, attempt.affectedRows, attempt.insertId, attempt.scope, attempt.key]
  })
  return undefined
}

/**
 * Contests an attempt: a tombstone is entered unless the attempt has committed.
 *
 * @param upstream - the primary
 * @param attempt - key and attempt
 * @returns the record that stands
 */
export async function contestAttempt (upstream: Upstream, attempt: LedgerAttempt): Promise<LedgerRow> {
  const transaction = await upstream.begin()
  try {
    const standing = findRow(transaction, attempt)
    if (standing === undefined) {
      transaction.run(insertRow(attempt, 'tombstone'))
    } else if (standing.state === 'tombstone' && standing.attempt < attempt.attempt) {
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
 * Deletes old records.
 *
 * @param before - creation time, in milliseconds of the epoch
 * @param limit - greatest number of records to delete
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
 * Shows a record as the answer of a procedure.
 *
 * @param outcome - `entered`, `exists` when a record stood before, or `absent`
 * @param status - the upstream's status, shown beside it
 * @param row - the record, if there is one
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
 * Shows named values as an answer of one row.
 *
 * @param values - the values
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
 * @param transaction - where to look
 * @param attempt - the key
 * @returns the record, or undefined
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
