import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { Socket } from 'node:net'
import { silentLogger } from '../../src/core/logger/index.ts'
import { attachFrames } from '../../src/core/wire/frames.ts'
import { createDialer, type Endpoint } from '../../src/core/wire/dialer.ts'
import { listenForSockets, type SocketListener } from '../../src/core/wire/listener.ts'
import { createNonce, proveKey } from '../../src/peers/authentication.ts'
import { createPeerClient, type PeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import { requestFrame, type PeerHandler } from '../../src/peers/types.ts'

const KEY = 'a-key-for-all-the-tests'
const ADDRESS = '127.0.0.1'
const REQUEST_MS = 2000

/** Serves a link like a peer, and answers each request with one failure. */
function serveFailures (socket: Socket, entry: string, details: unknown): void {
  let isOpen = false
  const frames = attachFrames(socket, (value) => {
    if (isOpen) {
      frames.send({ id: requestFrame.read(value).id, failure: { verdict: 'not-run', entry, details } })
      return
    }
    isOpen = true
    const { nonce } = value as { nonce: Uint8Array }
    frames.send({ type: 'welcome', host: 'peer', proof: proveKey(KEY, 'server', nonce, 'peer') })
  })
  frames.send({ type: 'challenge', nonce: createNonce() })
}

describe('a request to a peer', () => {
  let client: PeerClient
  let failure: { entry: string, details: unknown }
  let listener: SocketListener
  beforeEach(async () => {
    client = createPeerClient({ host: 'self', key: KEY, dialer: createDialer() })
    listener = await listenForSockets({ address: ADDRESS, port: 0 }, (socket) =>
      serveFailures(socket, failure.entry, failure.details))
  })
  afterEach(async () => {
    client.close()
    await listener.close()
  })

  // Guards against a reply that removes its request and then fails to be read: the request never had an outcome.
  for (const [entry, details] of [
    ['valueOf', {}], ['__proto__', {}], ['AddedLater', {}], ['UnknownKind', undefined]
  ] as const) {
    it(`fails with the verdict of a reply whose error is not known here: ${entry} ${JSON.stringify(details)}`, async () => {
      failure = { entry, details }
      const endpoint: Endpoint = { address: ADDRESS, port: listener.port }
      const outcome = await Promise.race([
        client.request(endpoint, 'any', {}, REQUEST_MS).catch((thrown: unknown) => thrown),
        new Promise((resolve) => { setTimeout(() => resolve('none'), 2 * REQUEST_MS).unref() })
      ])
      expect((outcome as { verdict?: string }).verdict).toEqual('not-run')
    })
  }

  // Guards against a reply that cannot be encoded, which ended the process.
  it('ends only its link if the reply cannot be encoded', async () => {
    const handlers = new Map<string, PeerHandler>([
      ['bad', async () => ({ notEncodable: () => {} })],
      ['good', async () => 'done']
    ])
    const peer = await listenForPeers({ host: 'peer', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
    const endpoint: Endpoint = { address: ADDRESS, port: peer.port }
    await expect(client.request(endpoint, 'bad', {}, REQUEST_MS)).toBeRejected()
    expect(await client.request(endpoint, 'good', {}, REQUEST_MS)).toEqual('done')
    await peer.close()
  })
})
