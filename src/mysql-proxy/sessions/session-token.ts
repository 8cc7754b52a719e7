/**
 * Session tokens, by which callers carry the floors of a session from one proxy to another. A token is authenticated
 * with a secret shared by all proxies, so that callers can't forge it. Proxies store nothing for it.
 */
import { createHmac, hkdfSync, timingSafeEqual } from 'node:crypto'
import { Decoder, Encoder } from 'cbor-x'
import * as z from 'zod'
import { RequestError } from '../../core/errors/index.ts'
import { sessionFloorSchema } from '../../positions/position.ts'

const TOKEN_PREFIX = 'ws1.'
const KEY_BYTES = 32
const TAG_BYTES = 16
/** Longest accepted token, in characters. */
const MAXIMUM_TOKEN_LENGTH = 8192

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

const contentSchema = z.object({
  /** Identifier of the session. */
  id: z.string(),
  /** Service that the session belongs to; the token is refused to other services. */
  service: z.string(),
  /** Floor of the session by group: what the session has already read or written there. */
  floors: z.record(z.string(), sessionFloorSchema)
})

/** Content of a session token. */
export type SessionTokenContent = z.infer<typeof contentSchema>

/** Creates and verifies session tokens. */
export interface SessionTokens {
  /** Encodes and authenticates a token. */
  seal: (content: SessionTokenContent) => string
  /**
   * Verifies and decodes a token.
   *
   * @param token - the token
   * @param service - the service that presents the token
   * @returns the content of the token
   * @throws RequestError `InvalidToken` with verdict `not-run`
   */
  open: (token: string, service: string) => SessionTokenContent
}

/**
 * Returns whether a session handle is a token rather than a plain identifier.
 *
 * @param handle - the session handle
 * @returns whether it is a token
 */
export function isSessionToken (handle: string): boolean {
  return handle.startsWith(TOKEN_PREFIX)
}

/**
 * Creates the functions that create and verify tokens.
 *
 * @param secret - secret shared by all proxies
 * @returns the functions
 */
export function createSessionTokens (secret: string): SessionTokens {
  const key = Buffer.from(hkdfSync('sha256', secret, '', 'worksward session token', KEY_BYTES))
  const computeTag = (body: Buffer): Buffer => createHmac('sha256', key).update(body).digest().subarray(0, TAG_BYTES)
  return {
    seal: (content) => {
      const body = encoder.encode(content)
      return TOKEN_PREFIX + Buffer.concat([computeTag(body), body]).toString('base64url')
    },
    open: (token, service) => {
      if (token.length > MAXIMUM_TOKEN_LENGTH) {
        throw invalidToken('it is too long')
      }
      const bytes = Buffer.from(token.slice(TOKEN_PREFIX.length), 'base64url')
      const body = bytes.subarray(TAG_BYTES)
      const tag = bytes.subarray(0, TAG_BYTES)
      if (tag.length !== TAG_BYTES || !timingSafeEqual(tag, computeTag(body))) {
        throw invalidToken('it was not made here or has been changed')
      }
      const content = contentSchema.parse(decoder.decode(body))
      if (content.service !== service) {
        throw invalidToken('it belongs to another service')
      }
      return content
    }
  }
}

function invalidToken (reason: string): RequestError {
  return new RequestError('not-run', 'InvalidToken', { reason })
}
