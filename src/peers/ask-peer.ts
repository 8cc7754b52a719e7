/** Sends requests that close a silent link on timeout. */
import { RequestError } from '../core/errors/index.ts'
import type { Endpoint } from '../core/wire/dialer.ts'
import type { PeerClient } from './peer-client.ts'

/**
 * Sends a request, and on timeout closes the link if it has received nothing since. All other requests on the link then
 * fail too, so use it only on links whose requests tolerate that.
 *
 * @param client - client that owns the link
 * @param endpoint - the peer
 * @param type - type of the request
 * @param body - body of the request
 * @param timeoutMs - timeout, in milliseconds
 * @returns the body of the answer
 * @throws RequestError `PeerUnavailable`
 */
export async function requestOrDisconnect (
  client: Pick<PeerClient, 'request' | 'disconnect'>, endpoint: Endpoint, type: string, body: unknown, timeoutMs: number
): Promise<unknown> {
  const sentAt = performance.now()
  try {
    return await client.request(endpoint, type, body, timeoutMs)
  } catch (thrown) {
    if (thrown instanceof RequestError && thrown.entry === 'PeerUnavailable' && thrown.verdict === 'may-have-run') {
      client.disconnect(endpoint, sentAt)
    }
    throw thrown
  }
}
