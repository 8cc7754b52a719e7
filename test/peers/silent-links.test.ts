import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { requestOrDisconnect } from '../../src/peers/ask-peer.ts'
import { createPeerClient, type PeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import type { PeerHandler } from '../../src/peers/types.ts'
import { startSilencingRelay, type SilencingRelay } from '../fixtures/silencing-relay.ts'

const KEY = 'a-key-for-all-the-tests'
/** Size of a frame that takes longer than the timeout on a slow link, in bytes. */
const LARGE_BYTES = 300_000
/** Timeout of a request on a silent link, in milliseconds. */
const TIMEOUT_MS = 300
/** Timeout of a request that is answered, in milliseconds. */
const AMPLE_MS = 5000

describe('links that go silent without being closed', () => {
  let peer: Awaited<ReturnType<typeof listenForPeers>>
  let near: SilencingRelay
  let far: SilencingRelay
  let client: PeerClient
  let answerSlowRequests = (): void => {}
  const echo = async (relay: SilencingRelay, timeoutMs: number): Promise<unknown> =>
    await client.request(relay.endpoint, 'echo', 1, timeoutMs)

  beforeEach(async () => {
    const slow = new Promise<void>((resolve) => { answerSlowRequests = resolve })
    const handlers = new Map<string, PeerHandler>([
      ['echo', async (body) => body],
      ['slow', async (body) => await slow.then(() => body)]
    ])
    peer = await listenForPeers({ host: 'peer', key: KEY, handlers, address: '127.0.0.1', port: 0, logger: silentLogger })
    near = await startSilencingRelay(peer.port)
    far = await startSilencingRelay(peer.port)
    client = createPeerClient({ host: 'asker', key: KEY, dialer: createDialer() })
    await Promise.all([echo(near, AMPLE_MS), echo(far, AMPLE_MS)])
  })
  afterEach(async () => {
    client.close()
    await near.close()
    await far.close()
    await peer.close()
  })

  it('are replaced after one request without an answer', async () => {
    near.silence()
    await expect(echo(near, TIMEOUT_MS)).toBeRejected()
    expect([await echo(near, AMPLE_MS), near.connections]).toEqual([1, 2])
  })

  it('are replaced for all peers after one request to any of them had no answer', async () => {
    near.silence()
    far.silence()
    await expect(echo(near, TIMEOUT_MS)).toBeRejected()
    expect([await echo(far, AMPLE_MS), far.connections]).toEqual([1, 2])
  })

  it('do not take the retry of a request that closed them', async () => {
    near.silence()
    await expect(requestOrDisconnect(client, near.endpoint, 'echo', 1, TIMEOUT_MS)).toBeRejected()
    expect([await requestOrDisconnect(client, near.endpoint, 'echo', 1, AMPLE_MS), near.connections]).toEqual([1, 2])
  })

  it('are not confused with a link that was opened since the request was sent', async () => {
    near.silence()
    const late = requestOrDisconnect(client, near.endpoint, 'echo', 1, 2 * TIMEOUT_MS)
    await expect(echo(near, TIMEOUT_MS)).toBeRejected()
    const pending = client.request(near.endpoint, 'slow', 2, AMPLE_MS)
    await expect(late).toBeRejected()
    answerSlowRequests()
    expect(await pending).toEqual(2)
  })

  // Guards against counting whole frames only: a link was replaced while it carried a large frame.
  it('are not confused with a link that carries a large frame', async () => {
    const pending = client.request(near.endpoint, 'slow', 2, AMPLE_MS)
    near.slowDown()
    const large = client.request(near.endpoint, 'echo', 'x'.repeat(LARGE_BYTES), AMPLE_MS)
    await expect(requestOrDisconnect(client, near.endpoint, 'echo', 1, TIMEOUT_MS)).toBeRejected()
    answerSlowRequests()
    expect([await pending, String(await large).length, near.connections]).toEqual([2, LARGE_BYTES, 1])
  })

  it('are not confused with a slow peer, whose pending requests are answered', async () => {
    const pending = client.request(near.endpoint, 'slow', 2, AMPLE_MS)
    await expect(client.request(near.endpoint, 'slow', 3, TIMEOUT_MS)).toBeRejected()
    answerSlowRequests()
    expect(await pending).toEqual(2)
  })
})
