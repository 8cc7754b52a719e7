/** Distinguishes a peer that does not run from one that does not answer. */
import { RequestError } from '../core/errors/index.ts'

/** The peer's address refused the connection: no process listens there. Nothing was sent. */
export class PeerNotRunning extends RequestError<'PeerUnavailable'> {
  constructor (peer: string, reason: string) {
    super('not-run', 'PeerUnavailable', { peer, reason })
  }
}

/**
 * Says whether a failed request to a peer shows that no process listens there.
 *
 * @param thrown - the failure
 * @returns whether the connection was refused
 */
export function isConnectionRefused (thrown: unknown): boolean {
  return thrown instanceof PeerNotRunning
}
