/** Types and peer messages of the plug-in `leadership`. */
import * as z from 'zod'

/** Lease of this host on a group's primary in one epoch. */
export interface PrimaryLease {
  upstream: string
  epoch: number
}

/** Why a group needs another primary. */
export type FailoverReason = 'draining' | 'gone' | 'reborn' | 'unreachable' | 'deposed' | 'unfinished'

/** Body of the request `reach`, whether a host can reach an upstream. */
export const reachRequestSchema = z.object({ upstream: z.string() })

/** Answer to the request `reach`. */
export const reachResponseSchema = z.object({ reached: z.boolean() })

/** Body of the request `extend`, to extend the leases of a host. */
export const extendRequestSchema = z.object({ host: z.string(), process: z.string() })

/** An epoch in which no host may use the primary; also the body of the request `close-group`. */
export const closedEpochSchema = z.object({ group: z.string(), epoch: z.number().int() })

/** Answer to the request `extend`. */
export const grantSchema = z.object({
  granted: z.boolean(),
  /** Newest epoch of each group in which, as the granting host knows, no host may use the primary. */
  closed: z.array(closedEpochSchema)
})

/** An epoch in which no host may use the primary. */
export type ClosedEpoch = z.infer<typeof closedEpochSchema>
/** Answer to the request `extend`. */
export type Grant = z.infer<typeof grantSchema>
