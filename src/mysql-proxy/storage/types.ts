/** Interfaces of the platform's services, and the schemas and keys of stored rows. */
import * as z from 'zod'

/** A row of the table. */
export interface TableRow {
  partition: string
  sort: string
  /** Increases by one with each change to the row. */
  version: number
  /** JSON text. */
  body: string
}

/** A row to write if the stored row has the expected version; undefined requires that no row exists. */
export interface ConditionalRow extends TableRow {
  expectedVersion?: number
}

/** The operations of the table service that worksward uses. */
export interface PlatformTable {
  /** Reads a row with strong consistency. */
  read: (partition: string, sort: string) => Promise<TableRow | undefined>
  /** Lists the rows of a partition whose sort key is greater than a value, in ascending order. */
  list: (partition: string, afterSort: string) => Promise<TableRow[]>
  /**
   * Writes all rows in one transaction.
   *
   * @param rows - the rows, with their expected versions
   * @returns false when the transaction was cancelled, for example because a version did not match
   * @throws WorkswardError `PlatformUnavailable`; the rows may have been written nevertheless
   */
  write: (rows: ConditionalRow[]) => Promise<boolean>
}

/** The operations of the object store that worksward uses. */
export interface PlatformObjects {
  put: (key: string, text: string) => Promise<void>
  /** Reads an object; undefined when it does not exist. */
  get: (key: string) => Promise<string | undefined>
  /** Lists the keys that start with a prefix. */
  list: (prefix: string) => Promise<string[]>
}

/** Partition keys of the table. */
export const PARTITIONS = { hosts: 'hosts', groups: 'groups', changes: 'changes', head: 'head' } as const
/** Sort key of the row that holds the configuration revision. */
export const HEAD_SORT = 'configuration'
/** Sorts before every sort key; lists a whole partition. */
export const LOWEST_SORT = ' '

/** An entry in the list of hosts. */
export const hostRowSchema = z.object({
  host: z.string(),
  role: z.enum(['proxy', 'keeper']),
  failureDomain: z.string(),
  address: z.string(),
  port: z.number().int(),
  state: z.enum(['live', 'leaving'])
})

/** An entry in the list of hosts. */
export type HostRow = z.infer<typeof hostRowSchema>
