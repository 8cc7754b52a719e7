/** Schemas of the frames between peers. */
import * as z from 'zod'

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

type RequestFrame = z.infer<typeof requestFrameSchema>
export type ReplyFrame = z.infer<typeof replyFrameSchema>

/** Whether a value has an id; the schemas accept the same ids. */
function hasId (value: unknown): value is { id: number } {
  return typeof value === 'object' && value !== null && 'id' in value && Number.isSafeInteger(value.id)
}

/**
 * Checks a request. The schema is used only for malformed frames, since it takes many more steps.
 *
 * @param value - the decoded frame
 * @returns the request
 * @throws the schema's error on a malformed frame
 */
export function readRequestFrame (value: unknown): RequestFrame {
  return hasId(value) && 'type' in value && typeof value.type === 'string' && 'body' in value
    ? value as RequestFrame
    : requestFrameSchema.parse(value)
}

/**
 * Checks a reply. The schema is used only for failures and malformed frames, since it takes many more steps.
 *
 * @param value - the decoded frame
 * @returns the reply
 * @throws the schema's error on a malformed frame
 */
export function readReplyFrame (value: unknown): ReplyFrame {
  return hasId(value) && !('failure' in value) ? value as ReplyFrame : replyFrameSchema.parse(value)
}

/** The link on which a request arrived. */
export interface PeerLink {
  /** Name of the peer's host. */
  host: string
  /** Calls the listener once when the link closes. */
  onClose: (listener: () => void) => void
}

/** Handles requests of a type; returns the body of the reply. */
export type PeerHandler = (body: unknown, link: PeerLink) => Promise<unknown>
