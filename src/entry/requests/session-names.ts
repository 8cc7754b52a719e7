/** Session values and prepared statements of a caller's session. */
import { RequestError } from '../../core/errors/index.ts'
import { detachText } from '../../core/memory/detach-text.ts'
import { fingerprintOf } from '../../core/memory/fingerprint.ts'
import { noMemory } from '../../core/memory/no-memory.ts'
import type { SharedText } from '../../core/memory/shared-texts.ts'
import type { Memory } from '../../memory/index.ts'
import type { SessionValue, SessionValues } from '../pools/index.ts'
import type { Access, CallerStatement, PreparedShape } from '../ports/index.ts'
import type { ExecutableStatement, PreparedStatement } from './types.ts'

/** Maximum number of session values, and of prepared statements, per session. */
const MAXIMUM_NAMES = 256
/** Memory that a session value takes beside its texts, in bytes: its name's fingerprint, an object, a map's entry. */
export const VALUE_BYTES = 160
/** Memory that the name of a prepared statement takes beside its fingerprint, in bytes: an entry of a map. */
const STATEMENT_BYTES = 72
/** Maximum length of a name in an error, in characters. */
const MAXIMUM_SHOWN_LENGTH = 64

/** A caller's statement that runs at an upstream. */
type DataStatement = Extract<CallerStatement, { type: 'data' | 'execute' }>

/** Session values and prepared statements, by name. What adds a name throws RequestError if it does not fit. */
export interface SessionNames {
  /** The values; a new map after each change. */
  readonly values: SessionValues
  setValue: (name: string, value: string) => void
  prepare: (name: string, prepared: PreparedShape) => void
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
  /** Drops all names. */
  close: () => void
}

/** A name, whose text all sessions share. */
interface KeptName {
  shared: SharedText
}

type KeptValue = KeptName & SessionValue
type KeptStatement = KeptName & PreparedStatement

/** Statements that are prepared, by text and access: sessions that prepare the same ones keep only their names. */
const statements = new WeakMap<SharedText, Partial<Record<Access, KeptStatement>>>()

function statementOf (shared: SharedText, access: Access): KeptStatement {
  const { text: shape, fingerprint } = shared
  const ofText = statements.get(shared)
  const known = ofText?.[access]
  if (known !== undefined) {
    return known
  }
  const statement: KeptStatement = { shared, access, shape, fingerprint }
  statements.set(shared, { ...ofText, [access]: statement })
  return statement
}

/**
 * Shortens a name for messages.
 *
 * @param name - the name
 * @returns the name, or its beginning if it is long
 */
export function shownName (name: string): string {
  return name.length <= MAXIMUM_SHOWN_LENGTH ? name : `${name.slice(0, MAXIMUM_SHOWN_LENGTH)}...`
}

/**
 * Creates the empty names of a new session.
 *
 * @param memory - the memory that names may take on this host, and the texts that all sessions share
 * @returns the names
 */
export function createSessionNames ({ budget, texts }: Memory): SessionNames {
  const hold = budget.open('names')
  const prepared = new Map<string, KeptStatement>()
  let values = new Map<string, KeptValue>()

  /** Keeps the text of a name in place of the present one; `bytes` are those of a new name beside its text. */
  const keepName = (
    names: Map<string, KeptName>, key: string, text: string, bytes: number, what: string
  ): SharedText => {
    const present = names.get(key)
    if (present === undefined && names.size >= MAXIMUM_NAMES) {
      throw new RequestError('not-run', 'TooManyNames', { what, maximum: MAXIMUM_NAMES })
    }
    const hasRoom = present !== undefined || hold.take(bytes)
    const shared = hasRoom ? texts.keep(text, present?.shared) : undefined
    if (shared === undefined) {
      hasRoom && present === undefined && hold.give(bytes)
      throw noMemory(budget, 'names', what, text.length + bytes)
    }
    return shared
  }
  const setValue = (name: string, value: string): void => {
    const key = fingerprintOf(name)
    const present = values.get(key)
    const shared = keepName(values, key, value, VALUE_BYTES + name.length, `the value of '${shownName(name)}'`)
    const { text, fingerprint } = shared
    const entry = { shared, name: present?.name ?? detachText(name), text, fingerprint }
    values = new Map(values).set(present === undefined ? detachText(key) : key, entry)
  }
  const prepare = (name: string, { access, shape }: PreparedShape): void => {
    const key = fingerprintOf(name)
    const shared = keepName(prepared, key, shape, STATEMENT_BYTES + key.length, `the statement '${shownName(name)}'`)
    prepared.set(detachText(key), statementOf(shared, access))
  }
  return {
    get values () { return values },
    setValue,
    prepare,
    deallocate: (name) => {
      const key = fingerprintOf(name)
      const present = prepared.get(key)
      if (present !== undefined) {
        prepared.delete(key)
        texts.release(present.shared)
        hold.give(STATEMENT_BYTES + key.length)
      }
    },
    isPrepared: (name) => prepared.has(fingerprintOf(name)),
    toExecutable: (requestId, statement) => {
      if (statement.type === 'data') {
        const { access, text } = statement
        return { type: 'data', requestId, access, text }
      }
      const { parameters } = statement
      const statementToRun = prepared.get(fingerprintOf(statement.name))!
      return { type: 'execute', requestId, access: statementToRun.access, prepared: statementToRun, parameters }
    },
    close: () => {
      [...values.values(), ...prepared.values()].forEach(({ shared }) => texts.release(shared))
      values = new Map()
      prepared.clear()
      hold.close()
    }
  }
}
