/**
 * Frames between the owners of limits and the hosts that request grants: `limit-take` and `limit-return`. Fields that
 * older processes do not know are optional.
 */
import * as z from 'zod'

const count = z.number().int().nonnegative()

/** Operations of one priority that wait for a grant. */
const priorityRequestSchema = z.object({
  /** 0 is the most urgent. */
  priority: count,
  wanted: z.number().int().positive(),
  /** Longest time that any of the operations may wait for its turn, in milliseconds. */
  maximumWaitMs: z.number().nonnegative()
})

/** Operations granted to one priority. */
const priorityGrantSchema = z.object({
  priority: count,
  granted: count,
  /** Time after which each granted operation may run, in milliseconds, in ascending order. */
  turnsMs: z.array(z.number().nonnegative()),
  /** Time after which to request more, in milliseconds; 0 when all were granted. */
  retryAfterMs: z.number().nonnegative()
})

/** Request of a host for operations. */
export const takeRequestSchema = z.object({
  organisation: z.string(),
  /** All operations requested; what exceeds the sum of `byPriority` is requested in advance. */
  wanted: z.number().int().positive(),
  /** Version of the desired state in force at the requester. */
  version: z.number(),
  /** Missing from older processes: all operations then have priority 0 and do not wait. */
  byPriority: z.array(priorityRequestSchema).optional()
})

/** Answer of an owner. */
export const takeAnswerSchema = z.object({
  /** All operations granted; what exceeds the sum of `byPriority` was requested in advance. */
  granted: count,
  retryAfterMs: z.number().nonnegative(),
  /** Version of the desired state that defines the limit. */
  version: z.number(),
  /** Missing from older processes: the operations may run at once, the most urgent first. */
  byPriority: z.array(priorityGrantSchema).optional(),
  /** Instance of the bucket that granted the operations; without it they cannot be returned. */
  bucket: z.number().optional()
})

/** Return of operations that were granted and did not run. */
export const returnSchema = z.object({
  organisation: z.string(),
  operations: z.number().int().positive(),
  /** Instance of the bucket that granted them. */
  bucket: z.number()
})

/** Operations of one priority that wait for a grant. */
export type PriorityRequest = z.infer<typeof priorityRequestSchema>
/** Operations granted to one priority. */
export type PriorityGrant = z.infer<typeof priorityGrantSchema>
/** Answer of an owner. */
export type TakeAnswer = z.infer<typeof takeAnswerSchema>
/** Answer to a request for operations, without the version of the limit. */
export type Grant = Omit<TakeAnswer, 'version'>
/** Return of operations. */
export type ReturnedOperations = z.infer<typeof returnSchema>
