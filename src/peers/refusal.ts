/**
 * Distinguishes a refused connection, and a link that is still being opened, from a peer that does not answer. Both
 * show that nothing was sent. A refusal does not show that the peer has ended, since a firewall on the way refuses as
 * well.
 */
import { RequestError } from '../core/errors/index.ts'

/** The connection was refused, so nothing was sent. */
export class PeerRefusedConnection extends RequestError<'PeerUnavailable'> {
  constructor (peer: string, reason: string) {
    super('not-run', 'PeerUnavailable', { peer, reason })
  }
}

/**
 * Tests whether a request failed because the connection was refused.
 *
 * @param thrown - the error of the request
 * @returns whether the connection was refused
 */
export function isConnectionRefused (thrown: unknown): boolean {
  return thrown instanceof PeerRefusedConnection
}

/** The link was not open in time, so nothing was sent; it may still open and serve later requests. */
export class PeerLinkPending extends RequestError<'PeerUnavailable'> {
  constructor (peer: string) {
    super('not-run', 'PeerUnavailable', { peer, reason: 'no answer to the connection attempt' })
  }
}

/**
 * Tests whether a request failed because its link was not open in time.
 *
 * @param thrown - the error of the request
 * @returns whether the link was still being opened
 */
export function isLinkPending (thrown: unknown): boolean {
  return thrown instanceof PeerLinkPending
}
