/** Messages of the membership: members and heartbeats. */
import * as z from 'zod'

/** States of a member, each overriding the ones before it in the same version. */
export const MEMBER_STATES = ['live', 'suspect', 'leaving', 'gone'] as const

/** What is known of one process. */
export const memberSchema = z.object({
  host: z.string(),
  role: z.enum(['proxy', 'keeper']),
  failureDomain: z.string(),
  address: z.string(),
  port: z.number().int(),
  /** When the process started, in milliseconds of the epoch; a restart overrides everything before. */
  startedAt: z.number(),
  /** Raised by the process itself, to refute a suspicion or to say that it leaves. */
  version: z.number().int(),
  state: z.enum(MEMBER_STATES)
})

/** What is known of one process. */
export type Member = z.infer<typeof memberSchema>

/** Body of a heartbeat and of its answer. */
export const heartbeatSchema = z.object({
  /** Members whose state changed lately, and the sender. */
  members: z.array(memberSchema),
  /** Digest of all that the sender knows; members are exchanged whole only when digests differ. */
  digest: z.string(),
  /** Newest configuration revision of the sender. */
  revision: z.number().int()
})

/** Body of a heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
