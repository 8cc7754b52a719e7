/** Answers and columns as they pass between callers, proxies and upstreams. */

/** A column of an answer. */
export interface Column {
  name: string
  /** MySQL column type code. */
  type: number
  flags: number
  characterSet: number
  columnLength: number
  decimals: number
}

/** A cell in the text representation of the MySQL protocol. */
export type Cell = Buffer | null

/** A statement that returned no rows. */
export interface DoneAnswer {
  type: 'done'
  affectedRows: number
  insertId: number
}

/** A statement that returned rows. */
export interface RowsAnswer {
  type: 'rows'
  columns: Column[]
  rows: Cell[][]
}

/** What a statement returned. */
export type Answer = DoneAnswer | RowsAnswer

/** A value bound to a placeholder of a statement. */
export type StatementValue = string | number | bigint | boolean | Buffer | Date | null

/** A statement and the values of its placeholders, if it was prepared. */
export interface Statement {
  sql: string
  values?: StatementValue[]
}

/** An answer without rows or effect. */
export const EMPTY_ANSWER: DoneAnswer = { type: 'done', affectedRows: 0, insertId: 0 }
