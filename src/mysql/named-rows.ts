/** Access to the cells of a row by column name. */
import type { RowsAnswer } from './types.ts'

/**
 * Converts rows to objects.
 *
 * @returns one object per row, keyed by column name; NULL becomes an empty string
 */
export function readNamedRows ({ columns, rows }: RowsAnswer): Array<Record<string, string>> {
  return rows.map((row) =>
    Object.fromEntries(columns.map(({ name }, index) => [name, row[index]?.toString() ?? ''])))
}
