/** Session values and prepared statements of a caller's session. */
import type { CallerStatement, PreparedShape } from '../ports/index.ts'
import type { ExecutableStatement } from './types.ts'

/** Maximum number of session values, and of prepared statements, per session. */
export const MAXIMUM_NAMES = 256

/** A caller's statement that runs at an upstream. */
type DataStatement = Extract<CallerStatement, { type: 'data' | 'execute' }>

/** Session values and prepared statements, by name. */
export interface SessionNames {
  readonly values: ReadonlyMap<string, string>
  /** Sets a value; returns false if the session has reached {@link MAXIMUM_NAMES}. */
  setValue: (name: string, value: string) => boolean
  /** Adds a prepared statement; returns false if the session has reached {@link MAXIMUM_NAMES}. */
  prepare: (name: string, prepared: PreparedShape) => boolean
  deallocate: (name: string) => void
  isPrepared: (name: string) => boolean
  /**
   * Resolves a caller's statement to its text, or to the prepared statement that it executes.
   *
   * @param requestId - id of the request
   * @param statement - the statement; must not execute a name that is not prepared
   * @returns the statement to run at an upstream
   */
  toExecutable: (requestId: string, statement: DataStatement) => ExecutableStatement
}

function addName<Value> (map: Map<string, Value>, name: string, value: Value): boolean {
  if (map.size >= MAXIMUM_NAMES && !map.has(name)) {
    return false
  }
  map.set(name, value)
  return true
}

/**
 * Creates the empty names of a new session.
 *
 * @returns the names
 */
export function createSessionNames (): SessionNames {
  const values = new Map<string, string>()
  const prepared = new Map<string, PreparedShape>()
  return {
    values,
    setValue: (name, value) => addName(values, name, value),
    prepare: (name, shape) => addName(prepared, name, shape),
    deallocate: (name) => { prepared.delete(name) },
    isPrepared: (name) => prepared.has(name),
    toExecutable: (requestId, statement) => {
      if (statement.type === 'data') {
        const { access, text } = statement
        return { type: 'data', requestId, access, text }
      }
      const { parameters } = statement
      const shape = prepared.get(statement.name)!
      return { type: 'execute', requestId, access: shape.access, prepared: shape, parameters }
    }
  }
}
