/** Types of the measurements. */

/** Cells of a table row by column name. */
export type Row = Record<string, string | number>

/** A measurement that produces one table of docs/MEASUREMENTS.md. */
export interface Measurement {
  title: string
  /** Setup and method, printed above the table. */
  description: string
  run: () => Promise<Row[]>
}
