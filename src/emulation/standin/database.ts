/** An in-memory SQL database, based on SQLite compiled to WebAssembly. */
import initSqlJs, { type Database as SqlDatabase, type SqlJsStatic, type SqlValue } from 'sql.js'
import { COLUMN_TYPE, BINARY_CHARACTER_SET, TEXT_CHARACTER_SET } from '../../mysql/consts.ts'
import { tokenizeStatement } from '../../mysql/statement-lexer.ts'
import type { Answer, Cell, Column, Statement, StatementValue } from '../../mysql/types.ts'

let engine: SqlJsStatic | undefined

const READ_WORDS = new Set(['SELECT', 'WITH', 'VALUES', 'EXPLAIN', 'PRAGMA', 'SHOW'])

/** An open database. */
export interface Database {
  /** Runs one statement. */
  run: (statement: Statement) => Answer
  /** Makes the database read-only or writable. */
  setReadOnly: (readOnly: boolean) => void
  /** Returns the serialized database. */
  snapshot: () => Uint8Array
  close: () => void
}

/**
 * Opens a database.
 *
 * @param content - result of `snapshot`; absent for an empty database
 * @returns the database
 */
export async function openDatabase (content?: Uint8Array): Promise<Database> {
  engine ??= await initSqlJs()
  return wrapDatabase(new engine.Database(content))
}

/**
 * Returns whether a statement is a read.
 *
 * @param sql - the statement
 * @returns whether its first keyword is that of a read
 */
export function isReadStatement (sql: string): boolean {
  return READ_WORDS.has(firstWord(sql))
}

/**
 * Returns the first keyword of a statement in upper case, skipping comments.
 *
 * @param sql - the statement
 * @returns the keyword, or an empty string
 */
export function firstWord (sql: string): string {
  return /^(?:\s|\/\*[\s\S]*?\*\/)*([A-Za-z]+)/.exec(sql)?.[1]?.toUpperCase() ?? ''
}

function wrapDatabase (database: SqlDatabase): Database {
  let readOnly = false
  return {
    run: (statement) => runStatement(database, statement),
    setReadOnly: (wanted) => {
      if (wanted !== readOnly) {
        readOnly = wanted
        database.run(`PRAGMA query_only = ${wanted ? 'ON' : 'OFF'}`)
      }
    },
    snapshot: () => {
      const content = database.export()
      database.run(`PRAGMA query_only = ${readOnly ? 'ON' : 'OFF'}`)
      return content
    },
    close: () => database.close()
  }
}

function runStatement (database: SqlDatabase, { sql, values }: Statement): Answer {
  const prepared = database.prepare(translateEscapes(sql))
  try {
    if (values !== undefined && values.length > 0) {
      prepared.bind(values.map(toSqlValue))
    }
    const names = prepared.getColumnNames()
    const rows: SqlValue[][] = []
    while (prepared.step()) {
      rows.push(prepared.get())
    }
    if (names.length > 0) {
      return { type: 'rows', columns: names.map((name, index) => describeColumn(name, rows, index)), rows: rows.map(toCells) }
    }
  } finally {
    prepared.free()
  }
  return { type: 'done', affectedRows: database.getRowsModified(), insertId: readInsertId(database, sql) }
}

function readInsertId (database: SqlDatabase, sql: string): number {
  if (firstWord(sql) !== 'INSERT') {
    return 0
  }
  return Number(database.exec('SELECT last_insert_rowid()')[0]?.values[0]?.[0] ?? 0)
}

/** Replaces backslash escapes of MySQL string literals, which SQLite does not support. */
function translateEscapes (sql: string): string {
  if (!sql.includes('\\')) {
    return sql
  }
  let translated = sql
  for (const token of tokenizeStatement(sql).reverse()) {
    if (token.type !== 'SingleQuoted' || !token.text.includes('\\')) {
      continue
    }
    const text = token.text.slice(1, -1).replace(/\\([\s\S])|''/g, unescape)
    const literal = `'${text.replaceAll("'", "''")}'`
    translated = translated.slice(0, token.offset) + literal + translated.slice(token.offset + token.text.length)
  }
  return translated
}

const ESCAPES: Record<string, string> = { n: '\n', r: '\r', t: '\t', 0: '\0', b: '\b', Z: '\x1a' }

function unescape (_match: string, escaped: string | undefined): string {
  return escaped === undefined ? "'" : ESCAPES[escaped] ?? escaped
}

function toSqlValue (value: StatementValue): SqlValue {
  if (typeof value === 'bigint') {
    return value.toString()
  }
  if (typeof value === 'boolean') {
    return value ? 1 : 0
  }
  return value instanceof Date ? value.toISOString() : value
}

function toCells (row: SqlValue[]): Cell[] {
  return row.map((value) => {
    if (value === null) {
      return null
    }
    return value instanceof Uint8Array ? Buffer.from(value) : Buffer.from(String(value))
  })
}

/** Infers the column type from the first non-null value, as SQLite types values rather than columns. */
function describeColumn (name: string, rows: SqlValue[][], index: number): Column {
  const sample = rows.find((row) => row[index] !== null)?.[index]
  const column = { name, flags: 0, columnLength: 65535, decimals: 0 }
  if (typeof sample === 'number') {
    const whole = rows.every((row) => row[index] === null || Number.isInteger(row[index]))
    return { ...column, type: whole ? COLUMN_TYPE.longLong : COLUMN_TYPE.double, characterSet: BINARY_CHARACTER_SET }
  }
  if (sample instanceof Uint8Array) {
    return { ...column, type: COLUMN_TYPE.blob, characterSet: BINARY_CHARACTER_SET }
  }
  return { ...column, type: COLUMN_TYPE.varString, characterSet: TEXT_CHARACTER_SET }
}
