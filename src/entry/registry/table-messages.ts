/** The question of one host to another for a table of the store, and its answer. */
import * as z from 'zod'

/** Question for a table. */
export const tableQuestionSchema = z.object({
  table: z.string(),
  /** Version that is known already; left out for the whole table. */
  after: z.number().optional(),
  /** Whether the table is to be read anew from the store. */
  anew: z.boolean().optional()
})
export type TableQuestion = z.infer<typeof tableQuestionSchema>

const changesSchema = z.object({
  version: z.number(),
  isWhole: z.boolean(),
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
  removed: z.array(z.string())
})

/** Answer; without changes the host cannot say. */
export const tableAnswerSchema = z.object({ changes: changesSchema.optional() })
export type TableAnswer = z.infer<typeof tableAnswerSchema>
