/**
 * Distinguishes a refused connection from a peer that does not answer. A refusal shows that nothing was sent. It does
 * not show that the peer has ended, since a firewall on the way refuses as well.
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
