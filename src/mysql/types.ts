/** Statements and results, as exchanged between callers, proxies and upstreams. */

/** A result column. */
export interface Column {
  name: string
  /** MySQL column type code. */
  type: number
  flags: number
  characterSet: number
  columnLength: number
  decimals: number
}

/** A value in MySQL's text encoding, or null. */
export type Cell = Buffer | null

/** The result of a statement without rows. */
export interface DoneAnswer {
  type: 'done'
  affectedRows: number
  insertId: number
}

/** The result of a statement with rows. */
export interface RowsAnswer {
  type: 'rows'
  columns: Column[]
  rows: Cell[][]
}

/** The result of a statement. */
export type Answer = DoneAnswer | RowsAnswer

/** A value bound to a placeholder of a statement. */
export type StatementValue = string | number | bigint | boolean | Buffer | Date | null

/** A statement; a prepared one with the values of its placeholders. */
export interface Statement {
  sql: string
  values?: StatementValue[]
}

/** A result without rows or affected rows. */
export const EMPTY_ANSWER: DoneAnswer = { type: 'done', affectedRows: 0, insertId: 0 }
