/** Rows that the entry processes keep in the store. They share one table, so that a single read is consistent. */
import * as z from 'zod'
import {
  createReader, hasFields, isFlag, isListOf, isNumber, isRecordOf, isText
} from '../../core/wire/message-reader.ts'

export const REGISTRY_TABLE = 'worksward'

/** Row of a host that runs, or ran, an entry process. */
export const hostRowSchema = z.object({
  address: z.string(),
  /** Port that peers connect to. */
  port: z.number().int(),
  failureDomain: z.string(),
  /** Identity of the running process, new after each restart; {@link RETIRED_PROCESS} for a retired host. */
  process: z.string(),
  /**
   * Capacity in units (src/placement/capacity.ts); one unit if absent. An invalid value is ignored, since one row must
   * not make the whole table unreadable.
   */
  capacity: z.number().positive().optional().catch(undefined),
  /** Newest epoch, by group, up to which the process has stopped working at the group's primary. */
  stopped: z.record(z.string(), z.number().int()).optional(),
  /** Whether the process is stopping: it finishes its requests and takes no new ones. */
  leaving: z.boolean().optional(),
  /** Version of the row that the process replaced when it registered first; absent if there was none. */
  replaces: z.number().optional(),
  /**
   * Latest time at which the process can have started, on the store's clock, in milliseconds; absent if it is unknown,
   * or if the process replaced no row.
   */
  startedAtMs: z.number().optional(),
  /**
   * Present if a peer has retired the host: when its last lease expires on the store's clock, in milliseconds, had the
   * store carried out the write at once. Failovers go by `retirements.ts`.
   */
  retiredUntilMs: z.number().optional()
})

/** Value of `process` in the row of a host that a peer has retired. */
export const RETIRED_PROCESS = 'retired'

/** Leadership of a group. */
export const groupRowSchema = z.object({
  /** Incremented each time work at the primary is permitted or stopped. */
  epoch: z.number().int(),
  primary: z.string(),
  /** Start time from the primary's own row; after a restart the upstream no longer holds the group's log. */
  primaryBornAt: z.number().optional(),
  /** `open`: hosts may work at the primary. `closed`: they may not, because a failover is in progress. */
  state: z.enum(['open', 'closed']),
  /** Newest term of the group's log known to the writer. */
  term: z.number().int(),
  writtenBy: z.string(),
  /** Identity of the failover that wrote the row last; empty in an open row. */
  succession: z.string(),
  /**
   * Upstreams with orders to promote that may still take effect, and the latest time for that on the store's clock, in
   * milliseconds. A closed row keeps passed ones, too. Absent without orders.
   */
  orders: z.record(z.string(), z.number()).optional()
})

/** Lease that permits its holder to promote upstreams. */
export const promotionLeaseRowSchema = z.object({
  holder: z.string(),
  process: z.string(),
  /** Fencing token, incremented with each change of the holder. */
  fence: z.number().int(),
  /** Expiry on the store's clock, in milliseconds. */
  expiresMs: z.number(),
  /**
   * Expiry of the lease at the time of its holder's last order to promote, on the store's clock, in milliseconds: until
   * then the order may be on its way. Absent if the holder has ordered nothing.
   */
  orderedUntilMs: z.number().optional()
})

export type HostRow = z.infer<typeof hostRowSchema>
export type GroupRow = z.infer<typeof groupRowSchema>
export type PromotionLeaseRow = z.infer<typeof promotionLeaseRowSchema>

/** A row and its version; the version is 0 if the row does not exist. */
export interface Versioned<Row> {
  row: Row | undefined
  version: number
}

export const registryKeys = {
  host: (name: string): string => `host/${name}`,
  group: (name: string): string => `group/${name}`,
  promotionLease: 'duty/promotion'
} as const

/** Versions and ages, in milliseconds, of a host's copies of followed tables, by table. */
const knownTablesSchema = z.record(z.string(), z.object({ version: z.number(), ageMs: z.number() }))

export type KnownTables = z.infer<typeof knownTablesSchema>

/** Request for a peer's snapshot. */
const snapshotRequestSchema = z.object({
  /** Digest of the rows that the requester has; absent to request all rows. */
  digest: z.string().optional(),
  /** Store version of the requester's snapshot. */
  version: z.number().optional(),
  /** Time to hold the request while there is nothing new, in milliseconds. */
  holdMs: z.number().optional(),
  /** Versions of the requester's copies of followed tables, by table. */
  tables: z.record(z.string(), z.number()).optional()
})

/** Snapshot of the registry, or the changes to it, as sent to a peer. */
const snapshotReplySchema = z.object({
  version: z.number(),
  digest: z.string(),
  /** All rows, or those changed since the requested version; absent if the requester's digest matches. */
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })).optional(),
  /** Whether `rows` contains only changed rows. */
  isChange: z.boolean().optional(),
  /** Time since the store was asked for these rows, in milliseconds. */
  ageMs: z.number(),
  /** Whether the responding host has recently read the rows from the store itself. */
  isReading: z.boolean(),
  /** Copies of followed tables that lack no change known to the responding host. */
  tables: knownTablesSchema.optional()
})

export type SnapshotRequest = z.infer<typeof snapshotRequestSchema>
export type SnapshotReply = z.infer<typeof snapshotReplySchema>

/** Reads requests for a snapshot. */
export const snapshotRequest = createReader(snapshotRequestSchema, hasFields({}, {
  digest: isText, version: isNumber, holdMs: isNumber, tables: isRecordOf(isNumber)
}))

/** Reads snapshots. */
export const snapshotReply = createReader(snapshotReplySchema, hasFields({
  version: isNumber, digest: isText, ageMs: isNumber, isReading: isFlag
}, {
  rows: isListOf(hasFields({ key: isText, value: isText, version: isNumber })),
  isChange: isFlag,
  tables: isRecordOf(hasFields({ version: isNumber, ageMs: isNumber }))
}))
