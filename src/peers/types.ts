/** Frames between peers. */
import * as z from 'zod'

/** First frame of the accepting side. */
export const challengeSchema = z.object({ type: z.literal('challenge'), nonce: z.instanceof(Uint8Array) })

/** Answer of the connecting side: who it is, proof that it knows the key, and a challenge of its own. */
export const helloSchema = z.object({
  type: z.literal('hello'),
  host: z.string().min(1).max(200),
  proof: z.instanceof(Uint8Array),
  nonce: z.instanceof(Uint8Array)
})

/** Last frame of the handshake: proof of the accepting side. */
export const welcomeSchema = z.object({ type: z.literal('welcome'), host: z.string(), proof: z.instanceof(Uint8Array) })

/** A request, numbered by the asking side. */
export const requestFrameSchema = z.object({ id: z.number().int(), type: z.string(), body: z.unknown() })

/** Answer to the request with the same number: a body, or a failure. */
export const replyFrameSchema = z.object({
  id: z.number().int(),
  body: z.unknown().optional(),
  failure: z.object({
    verdict: z.enum(['not-run', 'may-have-run', 'ran']),
    entry: z.string(),
    details: z.unknown()
  }).optional()
})

/** A reply frame. */
export type ReplyFrame = z.infer<typeof replyFrameSchema>

/** The link a request came over. */
export interface PeerLink {
  /** Host at the other end. */
  host: string
  /** Calls back once when the link is gone. */
  onClose: (listener: () => void) => void
}

/** Handles the requests of one type. */
export type PeerHandler = (body: unknown, link: PeerLink) => Promise<unknown>
