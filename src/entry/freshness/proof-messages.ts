/** Messages of the request `freshness-proofs` between hosts. */
import * as z from 'zod'
import { createReader, hasFields, isListOf, isNumber, isText } from '../../core/wire/message-reader.ts'

/** Body of the request for proofs. */
const proofRequestSchema = z.object({
  group: z.string(),
  /** Maximum age of a sufficient proof, in milliseconds. */
  ageMs: z.number()
})

/** Body of the response with proofs. */
const proofResponseSchema = z.object({
  epoch: z.number(),
  proofs: z.array(z.object({
    position: z.object({ term: z.number(), position: z.number() }),
    /** Time from the request to the primary until the reply was created, in milliseconds. */
    ageMs: z.number()
  }))
})

/** Reads requests for proofs. */
export const proofRequest = createReader(proofRequestSchema, hasFields({ group: isText, ageMs: isNumber }))

/** Reads responses with proofs. */
export const proofResponse = createReader(proofResponseSchema, hasFields({
  epoch: isNumber,
  proofs: isListOf(hasFields({ position: hasFields({ term: isNumber, position: isNumber }), ageMs: isNumber }))
}))
