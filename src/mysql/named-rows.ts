/** Reads rows by the names of their columns. */
import type { RowsAnswer } from './types.ts'

/**
 * Names the cells of each row.
 *
 * @param answer - the answer
 * @returns one object for each row; NULL reads as an empty text
 */
export function readNamedRows ({ columns, rows }: RowsAnswer): Array<Record<string, string>> {
  return rows.map((row) =>
    Object.fromEntries(columns.map(({ name }, index) => [name, row[index]?.toString() ?? ''])))
}
