/** Schemas of the frames between peers. */
import * as z from 'zod'
import { createReader, hasFields, isAnything, isInteger, isText } from '../core/wire/message-reader.ts'

/** First frame of the handshake, sent by the server. */
export const challengeSchema = z.object({ type: z.literal('challenge'), nonce: z.instanceof(Uint8Array) })

/** Second frame, sent by the client: its name, its response to the challenge, and a challenge for the server. */
export const helloSchema = z.object({
  type: z.literal('hello'),
  host: z.string().min(1).max(200),
  proof: z.instanceof(Uint8Array),
  nonce: z.instanceof(Uint8Array)
})

/** Last frame of the handshake: the response of the server. */
export const welcomeSchema = z.object({ type: z.literal('welcome'), host: z.string(), proof: z.instanceof(Uint8Array) })

/** A request; the client assigns the id. */
const requestFrameSchema = z.object({ id: z.number().int(), type: z.string(), body: z.unknown() })

/** Reply to the request with the same id: a body or a failure. */
const replyFrameSchema = z.object({
  id: z.number().int(),
  body: z.unknown().optional(),
  failure: z.object({
    verdict: z.enum(['not-run', 'may-have-run', 'ran']),
    entry: z.string(),
    details: z.unknown()
  }).optional()
})

/** Reads the frames of requests. */
export const requestFrame = createReader(requestFrameSchema, hasFields({
  id: isInteger, type: isText, body: isAnything
}))

/** Reads the frames of replies. */
export const replyFrame = createReader(replyFrameSchema, hasFields({ id: isInteger }, { body: isAnything }))

export type ReplyFrame = z.infer<typeof replyFrameSchema>

/** The link on which a request arrived. */
export interface PeerLink {
  /** Name of the peer's host. */
  host: string
  /** Calls the listener once when the link closes. */
  onClose: (listener: () => void) => void
}

/** Handles requests of a type; returns the body of the reply. */
export type PeerHandler = (body: unknown, link: PeerLink) => Promise<unknown>
