/** Types of leadership. */
import { z } from 'zod'

/** The right of this host to work at a group's primary. */
export interface PrimaryRight {
  upstream: string
  epoch: number
}

/** Why a group needs another primary. */
export type SuccessionReason = 'draining' | 'gone' | 'unreachable' | 'unfinished'

/** Body of the order to stop working at a primary. */
export const closeGroupSchema = z.object({ group: z.string(), epoch: z.number().int() })

/** Body of the question whether a host reaches an upstream. */
export const reachQuestionSchema = z.object({ upstream: z.string() })

/** Whether a host reaches an upstream. */
export const reachAnswerSchema = z.object({ reached: z.boolean() })
