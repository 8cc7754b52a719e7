/** The statements that one client has prepared. */
import { decodeExecution, type ParameterTypes } from './execute-decoder.ts'
import { countPlaceholders } from './statement-lexer.ts'
import type { Statement } from './types.ts'

/** Greatest number of prepared statements of a connection. */
const MAXIMUM_PREPARED_STATEMENTS = 1000

/** A prepared statement. */
interface PreparedStatement {
  sql: string
  /** Number of its placeholders. */
  parameters: number
  /** Types of the last execution; a client may leave them out of the next one. */
  types: ParameterTypes
}

/** The prepared statements of a connection. */
export interface PreparedStatements {
  /** Whether no further statement can be prepared. */
  readonly full: boolean
  /**
   * Prepares a statement.
   *
   * @param sql - its text
   * @returns its id on this connection, and the number of its placeholders
   */
  prepare: (sql: string) => { statementId: number, parameters: number }
  /**
   * Reads the values of an execution.
   *
   * @param statementId - id of the statement
   * @param body - body of the command
   * @returns the statement with its values, or undefined when there is none of that id
   */
  bind: (statementId: number, body: Buffer) => Statement | undefined
  close: (statementId: number) => void
  closeAll: () => void
}

/**
 * Creates the prepared statements of a connection.
 *
 * @returns the statements; there are none
 */
export function createPreparedStatements (): PreparedStatements {
  const statements = new Map<number, PreparedStatement>()
  let nextStatementId = 1
  return {
    get full () { return statements.size >= MAXIMUM_PREPARED_STATEMENTS },
    prepare: (sql) => {
      const statementId = nextStatementId++
      const parameters = countPlaceholders(sql)
      statements.set(statementId, { sql, parameters, types: [] })
      return { statementId, parameters }
    },
    bind: (statementId, body) => {
      const statement = statements.get(statementId)
      if (statement === undefined) {
        return undefined
      }
      const { values, types } = decodeExecution(body, statement.parameters, statement.types)
      statement.types = types
      return { sql: statement.sql, values }
    },
    close: (statementId) => statements.delete(statementId),
    closeAll: () => statements.clear()
  }
}
