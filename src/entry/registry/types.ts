/** Rows that the entry processes keep in the store, all in one table, so that one read shows them as of one moment. */
import * as z from 'zod'

/** Table of the rows. */
export const REGISTRY_TABLE = 'worksward'

/** Row of a host on which an entry process runs or ran. */
export const hostRowSchema = z.object({
  address: z.string(),
  /** Port for peers. */
  port: z.number().int(),
  failureDomain: z.string(),
  /** Identity of the running process; a restart makes another one. {@link RETIRED_PROCESS} when it was retired. */
  process: z.string(),
  /** Groups at whose primaries the process has stopped working, and the newest epoch for which that is certain. */
  stopped: z.record(z.string(), z.number().int()).optional(),
  /** Whether the process is stopping: it finishes what it has, and others take new work. */
  leaving: z.boolean().optional(),
  /** Time of the store's clock at which the last lease of a retired process has expired, in milliseconds. */
  retiredUntilMs: z.number().optional()
})

/** Stands for the process of a host that peers have retired. */
export const RETIRED_PROCESS = 'retired'

/** Who leads a group. */
export const groupRowSchema = z.object({
  /** Raised whenever work at the primary is allowed or stopped anew. */
  epoch: z.number().int(),
  primary: z.string(),
  /** When the primary started, by its own row; one that has started again since holds nothing of the group's log. */
  primaryBornAt: z.number().optional(),
  /** `open`: hosts may work at the primary. `closed`: they may not; a successor is being made. */
  state: z.enum(['open', 'closed']),
  /** Newest term of the group's log that the writer knew. */
  term: z.number().int(),
  /** Host that wrote the row. */
  writtenBy: z.string(),
  /** Identity of the failover that wrote the row last; empty in an open row. The stored name is fixed. */
  succession: z.string()
})

/** The lease on promoting. */
export const promotionLeaseRowSchema = z.object({
  holder: z.string(),
  /** Process of the holder. */
  process: z.string(),
  /** Fencing token; raised with every change of the holder. */
  fence: z.number().int(),
  /** End of the lease on the store's clock, in milliseconds. */
  expiresMs: z.number()
})

/** A host on which an entry process runs or ran. */
export type HostRow = z.infer<typeof hostRowSchema>
/** Who leads a group. */
export type GroupRow = z.infer<typeof groupRowSchema>
/** The lease on promoting. */
export type PromotionLeaseRow = z.infer<typeof promotionLeaseRowSchema>

/** A row with its version; 0 when there is none. */
export interface Versioned<Row> {
  row: Row | undefined
  version: number
}

/** Keys of the rows. */
export const registryKeys = {
  host: (name: string): string => `host/${name}`,
  group: (name: string): string => `group/${name}`,
  /** The stored key is fixed. */
  promotionLease: 'duty/promotion'
} as const

/** Body of the question for a peer's snapshot. */
export const snapshotQuestionSchema = z.object({
  /** Digest of the rows that the requester has; left out when it wants all. */
  digest: z.string().optional(),
  /** Version of the store that these rows are as of. */
  version: z.number().optional(),
  /** Time for which the answer may be held while there is nothing new, in milliseconds. */
  holdMs: z.number().optional()
})

/** A snapshot of the table as peers pass it on. */
export const snapshotReplySchema = z.object({
  version: z.number(),
  digest: z.string(),
  /** All rows, or those that have changed since the version that was named; left out when the requester has them. */
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })).optional(),
  /** Whether `rows` are only those that have changed. */
  isChange: z.boolean().optional(),
  /** Time since the question to the store was sent, in milliseconds. */
  ageMs: z.number(),
  /** Whether the host that answers has recently read it from the store itself. */
  isReading: z.boolean()
})

/** A snapshot of the table as peers pass it on. */
export type SnapshotReply = z.infer<typeof snapshotReplySchema>
