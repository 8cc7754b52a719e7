/** Types of leadership. */
import * as z from 'zod'

/** A lease of this host on a group's primary. */
export interface PrimaryLease {
  upstream: string
  epoch: number
}

/** Why a group needs another primary. */
export type FailoverReason = 'draining' | 'gone' | 'reborn' | 'unreachable' | 'deposed' | 'unfinished'

/** Body of the question whether a host reaches an upstream. */
export const reachQuestionSchema = z.object({ upstream: z.string() })

/** Whether a host reaches an upstream. */
export const reachAnswerSchema = z.object({ reached: z.boolean() })

/** Body of the question for an extension. */
export const extendQuestionSchema = z.object({ host: z.string(), process: z.string() })

/** An epoch in which nobody may work at the primary; also the body of the order to stop working there. */
export const closedEpochSchema = z.object({ group: z.string(), epoch: z.number().int() })

/** Answer to the question for an extension. */
export const grantSchema = z.object({
  granted: z.boolean(),
  /** Epochs that are closed as far as the granting host knows. */
  closed: z.array(closedEpochSchema)
})

/** An epoch in which nobody may work at the primary. */
export type ClosedEpoch = z.infer<typeof closedEpochSchema>
/** Answer to the question for an extension. */
export type Grant = z.infer<typeof grantSchema>
