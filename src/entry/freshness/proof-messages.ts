/** Messages of the request `freshness-proofs` between hosts. */
import * as z from 'zod'

/** Body of the request for proofs. */
export const proofRequestSchema = z.object({
  group: z.string(),
  /** Maximum age of a sufficient proof, in milliseconds. */
  ageMs: z.number()
})

/** Body of the response with proofs. */
export const proofResponseSchema = z.object({
  epoch: z.number(),
  proofs: z.array(z.object({
    position: z.object({ term: z.number(), position: z.number() }),
    /** Time from the request to the primary until the reply was created, in milliseconds. */
    ageMs: z.number()
  }))
})
