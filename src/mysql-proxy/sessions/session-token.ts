/**
 * Session tokens: what a session has seen, in a form that a caller can carry to any proxy. A token is authenticated, so
 * that a caller cannot make one up, and it needs no state on any proxy.
 */
import { createHmac, hkdfSync, timingSafeEqual } from 'node:crypto'
import { Decoder, Encoder } from 'cbor-x'
import * as z from 'zod'
import { RequestError } from '../../core/errors/index.ts'
import { sessionFloorSchema } from '../../positions/position.ts'

const PREFIX = 'ws1.'
const KEY_BYTES = 32
const TAG_BYTES = 16
/** Longest token that is looked at, in characters. */
const MAXIMUM_TOKEN_LENGTH = 8192

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

const contentSchema = z.object({
  /** Identity of the session. */
  id: z.string(),
  /** Service the session belongs to; another one may not use it. */
  service: z.string(),
  /** What the session has seen, by group. */
  floors: z.record(z.string(), sessionFloorSchema)
})

/** What a token says. */
export type SessionTokenContent = z.infer<typeof contentSchema>

/** Makes and checks tokens. */
export interface SessionTokens {
  /** Makes a token. */
  seal: (content: SessionTokenContent) => string
  /**
   * Checks a token.
   *
   * @param token - the token
   * @param service - the service that presents it
   * @returns what it says
   * @throws RequestError `InvalidToken` with verdict `not-run`
   */
  open: (token: string, service: string) => SessionTokenContent
}

/**
 * Says whether a session handle is a token rather than a bare id.
 *
 * @param handle - the handle
 * @returns whether it is
 */
export function isSessionToken (handle: string): boolean {
  return handle.startsWith(PREFIX)
}

/**
 * Creates the maker of tokens.
 *
 * @param secret - a secret all proxies share
 * @returns the maker
 */
export function createSessionTokens (secret: string): SessionTokens {
  const key = Buffer.from(hkdfSync('sha256', secret, '', 'worksward session token', KEY_BYTES))
  const tagOf = (body: Buffer): Buffer => createHmac('sha256', key).update(body).digest().subarray(0, TAG_BYTES)
  return {
    seal: (content) => {
      const body = encoder.encode(content)
      return PREFIX + Buffer.concat([tagOf(body), body]).toString('base64url')
    },
    open: (token, service) => {
      if (token.length > MAXIMUM_TOKEN_LENGTH) {
        throw refuse('it is too long')
      }
      const bytes = Buffer.from(token.slice(PREFIX.length), 'base64url')
      const body = bytes.subarray(TAG_BYTES)
      const tag = bytes.subarray(0, TAG_BYTES)
      if (tag.length !== TAG_BYTES || !timingSafeEqual(tag, tagOf(body))) {
        throw refuse('it was not made here or has been changed')
      }
      const content = contentSchema.parse(decoder.decode(body))
      if (content.service !== service) {
        throw refuse('it belongs to another service')
      }
      return content
    }
  }
}

function refuse (reason: string): RequestError {
  return new RequestError('not-run', 'InvalidToken', { reason })
}
