/** Stored procedures that every upstream provides for status queries, failover and the request ledger. */
import type { Statement, StatementValue } from '../../mysql/types.ts'

/** Names of the stored procedures by operation. */
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

/** Operation provided by a stored procedure. */
export type ProcedureName = keyof typeof PROCEDURES

/**
 * Builds a CALL statement. The arguments are inlined as literals, which saves preparing the statement.
 *
 * @param name - the operation
 * @param values - arguments of the procedure
 * @returns the statement
 */
export function callProcedure (name: ProcedureName, values: Array<string | number> = []): Statement {
  return { sql: `CALL ${PROCEDURES[name]}(${values.map(formatLiteral).join(', ')})` }
}

function formatLiteral (value: StatementValue): string {
  return typeof value === 'number' ? String(value) : `'${String(value).replaceAll('\\', '\\\\').replaceAll("'", "''")}'`
}
