/** Messages between members: member records and heartbeats. */
import * as z from 'zod'

/** States of a member; within one version, a later state overrides an earlier one. */
export const MEMBER_STATES = ['live', 'suspect', 'leaving', 'gone'] as const

/** Record of one process. */
export const memberSchema = z.object({
  host: z.string(),
  role: z.enum(['proxy', 'keeper']),
  failureDomain: z.string(),
  address: z.string(),
  port: z.number().int(),
  /** Start time of the process, in milliseconds since the epoch; a later start overrides all earlier records. */
  startedAt: z.number(),
  /** Incremented by the process itself, to refute a suspicion or to change its state. */
  version: z.number().int(),
  state: z.enum(MEMBER_STATES)
})

/** Record of one process. */
export type Member = z.infer<typeof memberSchema>

/** Body of a heartbeat and of its answer. */
export const heartbeatSchema = z.object({
  /** The sender, followed by recently changed members. */
  members: z.array(memberSchema),
  /** Digest of the sender's member list; full lists are exchanged only when digests differ. */
  digest: z.string(),
  /** Configuration revision of the sender. */
  revision: z.number().int()
})

/** Body of a heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
