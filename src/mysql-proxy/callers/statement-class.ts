/** Classifies statements by their first keyword, to find those that the proxy handles itself. */
import { ownValue } from '../../core/own-value.ts'

/** Class of a statement; `plain` statements are sent to a home. */
export type StatementClass =
  | 'begin' | 'commit' | 'rollback' | 'set' | 'session-token' | 'use' | 'refused' | 'implicit-commit' | 'plain'

const CLASS_BY_KEYWORD: Record<string, StatementClass> = {
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

const FIRST_KEYWORD = /^(?:\s|\/\*[\s\S]*?\*\/|(?:--[ \t]|#)[^\n]*\n)*([A-Za-z]+)/
const SESSION_TOKEN = /@@worksward_session\b/i
const ROLLBACK_TO = /\bROLLBACK\b[\s\S]*\bTO\b/i

/**
 * Classifies a statement.
 *
 * @param sql - the statement
 * @returns its class
 */
export function classifyStatement (sql: string): StatementClass {
  const keyword = FIRST_KEYWORD.exec(sql)?.[1]?.toUpperCase() ?? ''
  if (keyword === 'SELECT' && SESSION_TOKEN.test(sql)) {
    return 'session-token'
  }
  if (keyword === 'ROLLBACK' && ROLLBACK_TO.test(sql)) {
    return 'plain'
  }
  return ownValue(CLASS_BY_KEYWORD, keyword) ?? 'plain'
}

/** A parsed `SET` statement. */
type SetStatement =
  | { type: 'hint', name: string, value: string }
  | { type: 'ignored' }
  | { type: 'refused', reason: string }

const SET_HINT = /^\s*SET\s+@worksward_([a-z]+)\s*=\s*(?:'((?:[^'\\]|\\.|'')*)'|NULL)\s*;?\s*$/i
const IGNORED_SETTINGS = [
  /^\s*SET\s+NAMES\s+'?utf8(?:mb4)?'?(?:\s+COLLATE\s+\S+)?\s*;?\s*$/i,
  /^\s*SET\s+CHARACTER\s+SET\s+'?utf8(?:mb4)?'?\s*;?\s*$/i,
  /^\s*SET\s+(?:SESSION\s+|@@(?:session\.)?)?autocommit\s*=\s*(?:1|ON)\s*;?\s*$/i
]

/**
 * Parses a `SET` statement.
 *
 * @param sql - the statement
 * @returns a hint, `ignored` for settings that apply to all connections anyway, or `refused` for all others
 */
export function readSetting (sql: string): SetStatement {
  const hint = SET_HINT.exec(sql)
  if (hint !== null) {
    return { type: 'hint', name: hint[1]!.toLowerCase(), value: (hint[2] ?? '').replaceAll("''", "'") }
  }
  return IGNORED_SETTINGS.some((pattern) => pattern.test(sql))
    ? { type: 'ignored' }
    : { type: 'refused', reason: 'connections are shared, so session variables cannot be set' }
}
