/** Formats rows as an aligned table. */
import type { ConsoleRow } from './console-client.ts'

const GAP = '  '

/**
 * Formats rows.
 *
 * @param rows - rows with the same columns
 * @returns the table with a header line, or a note that there are no rows
 */
export function formatTable (rows: ConsoleRow[]): string {
  const [first] = rows
  if (first === undefined) {
    return '(no rows)\n'
  }
  const columns = Object.keys(first)
  const lines = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))]
  const widths = columns.map((_column, index) => Math.max(...lines.map((line) => line[index]!.length)))
  return lines
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index]!)).join(GAP).trimEnd() + '\n')
    .join('')
}
