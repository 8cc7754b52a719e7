/**
 * The procedures an upstream offers for statuses, failover and the request ledger, by driver. Managed databases
 * offer such operations as stored procedures; a driver says what each is called.
 */
import type { Statement, StatementValue } from '../mysql/types.ts'

/** Operations every driver must offer. */
export const PROCEDURE_NAMES = [
  'status', 'wait', 'fence', 'promote', 'follow', 'commit', 'find', 'contest', 'sweep'
] as const

/** One of {@link PROCEDURE_NAMES}. */
export type ProcedureName = typeof PROCEDURE_NAMES[number]

/** Names of the procedures in the database. */
export const PROCEDURES: Record<ProcedureName, string> = {
  status: 'worksward_status',
  wait: 'worksward_wait',
  fence: 'worksward_fence',
  promote: 'worksward_promote',
  follow: 'worksward_follow',
  commit: 'worksward_commit',
  find: 'worksward_find',
  contest: 'worksward_contest',
  sweep: 'worksward_sweep'
}

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
