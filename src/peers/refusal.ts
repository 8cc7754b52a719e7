/** Distinguishes a peer that is not running from one that does not answer. */
import { RequestError } from '../core/errors/index.ts'

/** The connection was refused, so no process listens at the address and nothing was sent. */
export class PeerNotRunning extends RequestError<'PeerUnavailable'> {
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
  return thrown instanceof PeerNotRunning
}
