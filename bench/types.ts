/** What a measurement returns. */

/** A row of a table. */
export type Row = Record<string, string | number>

/** A measurement. */
export interface Measurement {
  title: string
  /** What is compared with what, and how. */
  description: string
  run: () => Promise<Row[]>
}
