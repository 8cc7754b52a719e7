/** Prepared statements of a client connection. */
import { decodeExecution, type ParameterTypes } from './execute-decoder.ts'
import { countPlaceholders } from './statement-lexer.ts'
import type { Statement } from './types.ts'

/** Maximum number of prepared statements per connection. */
const MAXIMUM_PREPARED_STATEMENTS = 1000

/** A prepared statement. */
interface PreparedStatement {
  sql: string
  /** Number of placeholders. */
  parameters: number
  /** Types of the last execution, which apply to the next one if the client omits them. */
  types: ParameterTypes
}

/** Registry of a connection's prepared statements. */
export interface PreparedStatements {
  /** Whether the limit of prepared statements is reached. */
  readonly full: boolean
  /**
   * Prepares a statement.
   *
   * @returns its id on this connection and the number of its placeholders
   */
  prepare: (sql: string) => { statementId: number, parameters: number }
  /**
   * Decodes the parameters of an execute command.
   *
   * @param body - the packet after the command byte
   * @returns the statement with its values, or undefined if the id is unknown
   */
  bind: (statementId: number, body: Buffer) => Statement | undefined
  close: (statementId: number) => void
  closeAll: () => void
}

/** Creates an empty registry. */
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
