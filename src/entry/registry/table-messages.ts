/** Messages by which one host requests a table of the store from another. */
import * as z from 'zod'

export const tableRequestSchema = z.object({
  table: z.string(),
  /** Version that the requester has; absent to request all rows. */
  after: z.number().optional(),
  /** Whether the responder must read the table from the store first. */
  anew: z.boolean().optional(),
  /** Whether to send large changes as well, since the store does not answer the requester. */
  acceptsLarge: z.boolean().optional()
})
export type TableRequest = z.infer<typeof tableRequestSchema>

const changesSchema = z.object({
  version: z.number(),
  isWhole: z.boolean(),
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
  removed: z.array(z.string())
})

/** Response to a {@link TableRequest}; without `changes` the host cannot answer reliably. */
export const tableResponseSchema = z.object({
  changes: changesSchema.optional(),
  /** Age of the responder's confirmation of its copy, in milliseconds; absent if there is none. */
  ageMs: z.number().optional(),
  /** Whether there is a change that the requester should read from the store, since it is large; absent if not. */
  isLarge: z.boolean().optional()
})
export type TableResponse = z.infer<typeof tableResponseSchema>
