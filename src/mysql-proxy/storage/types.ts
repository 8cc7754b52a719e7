/** What worksward stores in the platform: forms of rows, and the operations of the services that it uses. */
import * as z from 'zod'

/** A row of the table. */
export interface TableRow {
  partition: string
  sort: string
  /** Raised by one with every change of the row. */
  version: number
  /** JSON text. */
  body: string
}

/** A row to write, and the version it must have had before; undefined when it must not exist. */
export interface ConditionalRow extends TableRow {
  expectedVersion?: number
}

/** The table service, as far as worksward needs it. */
export interface PlatformTable {
  /** Reads a row, with all writes before it. */
  read: (partition: string, sort: string) => Promise<TableRow | undefined>
  /** Lists the rows of a partition whose sort key is above a value, in order. */
  list: (partition: string, above: string) => Promise<TableRow[]>
  /**
   * Writes all rows, or none.
   *
   * @param rows - the rows
   * @returns false when a condition did not hold
   * @throws WorkswardError `PlatformUnavailable`; the rows may have been written all the same
   */
  write: (rows: ConditionalRow[]) => Promise<boolean>
}

/** The object store, as far as worksward needs it. */
export interface PlatformObjects {
  put: (key: string, text: string) => Promise<void>
  get: (key: string) => Promise<string | undefined>
  list: (prefix: string) => Promise<string[]>
}

/** Partitions of the table. */
export const PARTITIONS = { hosts: 'hosts', groups: 'groups', changes: 'changes', head: 'head' } as const
/** Sort key of the row that counts configuration changes. */
export const HEAD_SORT = 'configuration'
/** Below every sort key. */
export const LOWEST_SORT = ' '

/** A row of the platform's list of hosts. */
export const hostRowSchema = z.object({
  host: z.string(),
  role: z.enum(['proxy', 'keeper']),
  failureDomain: z.string(),
  address: z.string(),
  port: z.number().int(),
  state: z.enum(['live', 'leaving'])
})

/** A row of the platform's list of hosts. */
export type HostRow = z.infer<typeof hostRowSchema>
