/**
 * The procedures an upstream offers for statuses, failover and the request ledger, by driver. Managed databases
 * offer such operations as stored procedures; a driver says what each is called.
 */
import type { Statement, StatementValue } from '../../mysql/types.ts'

/** Operations that every driver must offer, and the names of the procedures in the database. */
export const PROCEDURES = {
  status: 'worksward_status',
  wait: 'worksward_wait',
  fence: 'worksward_fence',
  promote: 'worksward_promote',
  follow: 'worksward_follow',
  commit: 'worksward_commit',
  find: 'worksward_find',
  contest: 'worksward_contest',
  sweep: 'worksward_sweep'
} as const

/** An operation that every driver must offer. */
export type ProcedureName = keyof typeof PROCEDURES

/**
 * Builds a call.
 *
 * @param name - the operation
 * @param values - its arguments
 * @returns the statement; arguments are written as literals, for a call needs no preparation
 */
export function callProcedure (name: ProcedureName, values: Array<string | number> = []): Statement {
  return { sql: `CALL ${PROCEDURES[name]}(${values.map(formatLiteral).join(', ')})` }
}

function formatLiteral (value: StatementValue): string {
  return typeof value === 'number' ? String(value) : `'${String(value).replaceAll('\\', '\\\\').replaceAll("'", "''")}'`
}
