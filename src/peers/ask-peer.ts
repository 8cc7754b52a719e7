/** Asks a peer on a link that is given up when it stays silent. */
import { RequestError } from '../core/errors/index.ts'
import type { Endpoint } from '../core/wire/dialer.ts'
import type { PeerClient } from './peer-client.ts'

/**
 * Sends a request, and breaks the link when no answer comes in time. Only for requests that do no harm when the others
 * on the same link fail with them.
 *
 * @param client - the links
 * @param endpoint - the peer
 * @param type - type of the request
 * @param body - its content
 * @param timeoutMs - greatest wait, in milliseconds
 * @returns the body of the answer
 * @throws RequestError `PeerUnavailable`
 */
export async function askPeer (
  client: Pick<PeerClient, 'request' | 'disconnect'>, endpoint: Endpoint, type: string, body: unknown, timeoutMs: number
): Promise<unknown> {
  try {
    return await client.request(endpoint, type, body, timeoutMs)
  } catch (thrown) {
    if (thrown instanceof RequestError && thrown.entry === 'PeerUnavailable' && thrown.verdict === 'may-have-run') {
      client.disconnect(endpoint)
    }
    throw thrown
  }
}
