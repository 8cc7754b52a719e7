/** Frames between a host and a home of an upstream. */
import * as z from 'zod'
import { logPositionSchema } from '../../positions/position.ts'

const preparedSchema = z.object({ access: z.enum(['read', 'write']), shape: z.string() })

/** One step at an upstream: a statement of a caller, or the commit of its transaction. */
const stepSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('data'), access: z.enum(['read', 'write']), text: z.string() }),
  z.object({ type: z.literal('execute'), prepared: preparedSchema, parameters: z.string() }),
  z.object({ type: z.literal('commit'), text: z.string() })
])

const common = {
  /** Id of the caller's request. */
  id: z.string(),
  /** Time that the statement has left, when it was sent, in milliseconds. */
  leftMs: z.number(),
  /** Time left for an answer in time, when it was sent, in milliseconds. */
  inTimeMs: z.number(),
  /** Values of the caller's session; left out when they are the same as in the step before of the transaction. */
  values: z.array(z.tuple([z.string(), z.string()])).optional(),
  step: stepSchema
}

/** A single statement, or the first step of a transaction. */
export const homeStatementSchema = z.object({
  ...common,
  upstream: z.string(),
  /** Name of the organisation on whose behalf it runs; empty for none. */
  organisation: z.string(),
  /** Version of the desired state by which the asking host passes it on. */
  version: z.number(),
  priority: z.number(),
  /** Time that the statement is expected to take at the upstream, in milliseconds. */
  costMs: z.number(),
  /** Epoch in which the upstream is the primary, as far as the asking host knows; left out when `after` says enough. */
  epoch: z.number().int().optional(),
  after: logPositionSchema.optional(),
  /** Whether a transaction begins, and whether it only reads. */
  begin: z.enum(['plain', 'read-only']).optional()
})

/** A further step of a transaction. */
export const homeStepSchema = z.object({ ...common, transaction: z.number().int() })

/** The end of a transaction from the asking side. */
export const homeRollbackSchema = z.object({ transaction: z.number().int() })

const answerSchema = z.object({
  rows: z.array(z.string()),
  signature: z.string().optional(),
  failure: z.object({ kind: z.string(), message: z.string() }).optional(),
  state: z.enum(['idle', 'open', 'failed']),
  position: logPositionSchema.optional()
})

/** What became of a statement or step. */
export const homeReplySchema = z.object({
  /** Answer to the beginning of the transaction. */
  begun: answerSchema.optional(),
  answer: answerSchema.optional(),
  /** Why there is no answer although the transaction has begun. */
  lost: z.object({ verdict: z.enum(['not-run', 'may-have-run', 'ran']), reason: z.string() }).optional(),
  /** Epoch in which the upstream answered as the primary. */
  epoch: z.number().int().optional(),
  /** Time that the statement took at the upstream, in milliseconds. */
  ranMs: z.number().optional(),
  /** Number of the transaction, while it is open there. */
  transaction: z.number().int().optional(),
  load: z.number(),
  leaving: z.boolean()
})

/** One step at an upstream. */
export type Step = z.infer<typeof stepSchema>
/** A single statement, or the first step of a transaction. */
export type HomeStatement = z.infer<typeof homeStatementSchema>
/** A further step of a transaction. */
export type HomeStep = z.infer<typeof homeStepSchema>
/** What became of a statement or step. */
export type HomeReply = z.infer<typeof homeReplySchema>
