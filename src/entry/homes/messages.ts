/** Messages that a host exchanges with a home of an upstream. */
import * as z from 'zod'
import {
  createReader, hasFields, isCount, isFlag, isInteger, isListOf, isNumber, isOneOf, isText
} from '../../core/wire/message-reader.ts'
import { logPositionSchema } from '../../positions/position.ts'

const preparedSchema = z.object({ access: z.enum(['read', 'write']), shape: z.string() })

/** Step of a caller's request: a statement, or the commit of the transaction. */
const stepSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('data'), access: z.enum(['read', 'write']), text: z.string() }),
  z.object({ type: z.literal('execute'), prepared: preparedSchema, parameters: z.string() }),
  z.object({ type: z.literal('commit'), text: z.string() })
])

const stepFields = {
  /** Id of the caller's request. */
  id: z.string(),
  /** Time until the deadline of the statement when the message was sent, in milliseconds. */
  leftMs: z.number(),
  /** Time within which an answer counts as on time, when the message was sent, in milliseconds. */
  inTimeMs: z.number(),
  /** Values of the caller's session; omitted when unchanged since the previous step of the transaction. */
  values: z.array(z.tuple([z.string(), z.string()])).optional(),
  step: stepSchema
}

/** A single statement, or the first step of a transaction. */
const homeStatementSchema = z.object({
  ...stepFields,
  upstream: z.string(),
  /** Name of the organisation on whose behalf the statement runs; empty for none. */
  organisation: z.string(),
  /** Version of the desired state by which the sender has routed the statement. */
  version: z.number(),
  priority: z.number(),
  /** Expected execution time at the upstream, in milliseconds. */
  costMs: z.number(),
  /** Epoch in which the sender takes the upstream to be the primary; omitted where a replica may run the statement. */
  epoch: z.number().int().optional(),
  after: logPositionSchema.optional(),
  /** Begins a transaction in this mode. */
  begin: z.enum(['plain', 'read-only']).optional()
})

/** A further step of a transaction. */
const homeStepSchema = z.object({ ...stepFields, transaction: z.number().int() })

/** Rolls back a transaction that the sender has opened. */
export const homeRollbackSchema = z.object({ transaction: z.number().int() })

const answerSchema = z.object({
  rows: z.array(z.string()),
  signature: z.string().optional(),
  failure: z.object({ kind: z.string(), message: z.string() }).optional(),
  state: z.enum(['idle', 'open', 'failed']),
  position: logPositionSchema.optional()
})

/** Reply to a statement or step. */
const homeReplySchema = z.object({
  /** Answer to BEGIN. */
  begun: answerSchema.optional(),
  answer: answerSchema.optional(),
  /** Why there is no answer to the step although the transaction has begun. */
  lost: z.object({ verdict: z.enum(['not-run', 'may-have-run', 'ran']), reason: z.string() }).optional(),
  /** Epoch in which the upstream answered as the primary. */
  epoch: z.number().int().optional(),
  /** Execution time at the upstream, in milliseconds. */
  ranMs: z.number().optional(),
  /** Number of the transaction while it is open at the home. */
  transaction: z.number().int().optional(),
  load: z.number(),
  leaving: z.boolean(),
  /**
   * Number of statements that wait for the upstream there, and of those that run. These fields and `waitMs` are absent
   * while none waits, and from older processes; the receiver then relies on its own observations.
   */
  queued: z.number().optional(),
  running: z.number().optional(),
  /** How long a statement of the request's priority would wait there now, in milliseconds. */
  waitMs: z.number().optional()
})

const isPosition = hasFields({ term: isCount, position: isCount })
const isDataStep = hasFields({ type: isOneOf('data'), access: isOneOf('read', 'write'), text: isText })
/** Usual steps run a text, without session values. */
const usualStepFields = { id: isText, leftMs: isNumber, inTimeMs: isNumber, step: isDataStep }
const isAnswer = hasFields({ rows: isListOf(isText), state: isOneOf('idle', 'open', 'failed') }, {
  signature: isText,
  failure: hasFields({ kind: isText, message: isText }),
  position: isPosition
})

/** Reads statements and first steps. */
export const homeStatement = createReader(homeStatementSchema, hasFields({
  ...usualStepFields,
  upstream: isText,
  organisation: isText,
  version: isNumber,
  priority: isNumber,
  costMs: isNumber
}, { epoch: isInteger, after: isPosition, begin: isOneOf('plain', 'read-only') }))

/** Reads further steps. */
export const homeStep = createReader(homeStepSchema, hasFields({ ...usualStepFields, transaction: isInteger }))

/** Reads replies. */
export const homeReply = createReader(homeReplySchema, hasFields({ load: isNumber, leaving: isFlag }, {
  begun: isAnswer,
  answer: isAnswer,
  epoch: isInteger,
  ranMs: isNumber,
  transaction: isInteger,
  queued: isNumber,
  running: isNumber,
  waitMs: isNumber
}))

/** Step of a caller's request. */
export type Step = z.infer<typeof stepSchema>
/** A single statement, or the first step of a transaction. */
export type HomeStatement = z.infer<typeof homeStatementSchema>
/** A further step of a transaction. */
export type HomeStep = z.infer<typeof homeStepSchema>
/** Reply to a statement or step. */
export type HomeReply = z.infer<typeof homeReplySchema>
