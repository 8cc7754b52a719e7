/** The values and prepared statements of a caller's session. */
import type { CallerStatement, PreparedShape } from '../ports/index.ts'
import type { DataWork } from './types.ts'

/** Values, and prepared statements, that a session may have; more is refused, so that memory stays bounded. */
export const MAXIMUM_NAMES = 256

/** A statement of a caller that an upstream must run. */
type DataStatement = Extract<CallerStatement, { type: 'data' | 'execute' }>

/** The names of a session. */
export interface SessionNames {
  readonly values: ReadonlyMap<string, string>
  /** Sets a value; returns whether there was room for it. */
  setValue: (name: string, value: string) => boolean
  /** Adds a prepared statement; returns whether there was room for it. */
  prepare: (name: string, prepared: PreparedShape) => boolean
  deallocate: (name: string) => void
  isPrepared: (name: string) => boolean
  /**
   * Returns what an upstream must run for a statement.
   *
   * @param requestId - id of the request
   * @param statement - the statement; the name that it executes is prepared
   * @returns the work
   */
  workOf: (requestId: string, statement: DataStatement) => DataWork
}

function addName<Value> (map: Map<string, Value>, name: string, value: Value): boolean {
  if (map.size >= MAXIMUM_NAMES && !map.has(name)) {
    return false
  }
  map.set(name, value)
  return true
}

/**
 * Creates the names of a new session.
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
    workOf: (requestId, statement) => {
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
