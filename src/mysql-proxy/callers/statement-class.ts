/** Which statements the proxy handles itself. All others are classed by their declared kind, not by their text. */

/** What a statement is to the proxy. */
export type StatementClass =
  | 'begin' | 'commit' | 'rollback' | 'set' | 'session-token' | 'use' | 'refused' | 'implicit-commit' | 'plain'

const CLASS_BY_WORD: Record<string, StatementClass> = {
  BEGIN: 'begin',
  START: 'begin',
  COMMIT: 'commit',
  ROLLBACK: 'rollback',
  SET: 'set',
  USE: 'use',
  XA: 'refused',
  LOCK: 'refused',
  UNLOCK: 'refused',
  PREPARE: 'refused',
  EXECUTE: 'refused',
  DEALLOCATE: 'refused',
  HANDLER: 'refused',
  LOAD: 'refused',
  CREATE: 'implicit-commit',
  ALTER: 'implicit-commit',
  DROP: 'implicit-commit',
  TRUNCATE: 'implicit-commit',
  RENAME: 'implicit-commit'
}

const FIRST_WORD = /^(?:\s|\/\*[\s\S]*?\*\/|(?:--[ \t]|#)[^\n]*\n)*([A-Za-z]+)/
const SESSION_TOKEN = /@@worksward_session\b/i
const ROLLBACK_TO = /\bROLLBACK\b[\s\S]*\bTO\b/i

/**
 * Classes a statement.
 *
 * @param sql - the statement
 * @returns its class
 */
export function classifyStatement (sql: string): StatementClass {
  const word = FIRST_WORD.exec(sql)?.[1]?.toUpperCase() ?? ''
  if (word === 'SELECT' && SESSION_TOKEN.test(sql)) {
    return 'session-token'
  }
  if (word === 'ROLLBACK' && ROLLBACK_TO.test(sql)) {
    return 'plain'
  }
  return CLASS_BY_WORD[word] ?? 'plain'
}

/** A `SET` statement that the proxy understands. */
type Setting =
  | { type: 'hint', name: string, value: string }
  | { type: 'ignored' }
  | { type: 'refused', reason: string }

const SET_HINT = /^\s*SET\s+@worksward_([a-z]+)\s*=\s*(?:'((?:[^'\\]|\\.|'')*)'|NULL)\s*;?\s*$/i
const SET_HARMLESS = [
  /^\s*SET\s+NAMES\s+'?utf8(?:mb4)?'?(?:\s+COLLATE\s+\S+)?\s*;?\s*$/i,
  /^\s*SET\s+CHARACTER\s+SET\s+'?utf8(?:mb4)?'?\s*;?\s*$/i,
  /^\s*SET\s+(?:SESSION\s+|@@(?:session\.)?)?autocommit\s*=\s*(?:1|ON)\s*;?\s*$/i
]

/**
 * Reads a `SET` statement.
 *
 * @param sql - the statement
 * @returns what it sets
 */
export function readSetting (sql: string): Setting {
  const hint = SET_HINT.exec(sql)
  if (hint !== null) {
    return { type: 'hint', name: hint[1]!.toLowerCase(), value: (hint[2] ?? '').replaceAll("''", "'") }
  }
  return SET_HARMLESS.some((pattern) => pattern.test(sql))
    ? { type: 'ignored' }
    : { type: 'refused', reason: 'connections are shared, so session variables cannot be set' }
}
