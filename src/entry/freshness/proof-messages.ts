/** Frames between hosts about proofs of positions: `freshness-proofs`. */
import * as z from 'zod'

/** The question for proofs. */
export const proofQuestionSchema = z.object({
  group: z.string(),
  /** Age of the oldest proof that suffices, in milliseconds. */
  ageMs: z.number()
})

/** The answer with proofs. */
export const proofReplySchema = z.object({
  epoch: z.number(),
  proofs: z.array(z.object({
    position: z.object({ term: z.number(), position: z.number() }),
    /** Time since the request to the primary was sent, when the reply was made, in milliseconds. */
    ageMs: z.number()
  }))
})
