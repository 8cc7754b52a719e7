import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../src/core/errors/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer, type Endpoint } from '../../src/core/wire/dialer.ts'
import { createPeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import type { PeerHandler } from '../../src/peers/types.ts'

const KEY = 'a-key-for-all-the-tests'
const ADDRESS = '127.0.0.1'
/** Maximum wait for a link, in milliseconds; the test delays the peer for longer. */
const LINK_WAIT_MS = 20
const REQUEST_MS = 5000
/** Maximum attempts of a request while the link opens. */
const MAXIMUM_ATTEMPTS = 100

describe('createPeerClient with a busy peer', () => {
  let peer: Awaited<ReturnType<typeof listenForPeers>>
  let delayingServer: Server
  let endpoint: Endpoint
  let pendingSockets: Socket[]
  let connections: number
  let isPeerReady: boolean
  const dial = createDialer()
  const connectToPeer = (socket: Socket): void => {
    const peerSocket = dial({ address: ADDRESS, port: peer.port })
    socket.pipe(peerSocket).pipe(socket)
  }

  beforeEach(async () => {
    const handlers = new Map<string, PeerHandler>([['echo', async (body) => body]])
    peer = await listenForPeers({ host: 'busy', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
    pendingSockets = []
    connections = 0
    isPeerReady = false
    delayingServer = createServer((socket) => {
      connections++
      pendingSockets.push(socket)
      // On a busy machine a link may be accepted after the request has stopped waiting for it.
      isPeerReady && connectToPeer(socket)
    })
    await new Promise<void>((resolve) => { delayingServer.listen(0, ADDRESS, resolve) })
    endpoint = { address: ADDRESS, port: (delayingServer.address() as AddressInfo).port }
  })
  afterEach(async () => {
    pendingSockets.forEach((socket) => socket.destroy())
    await new Promise((resolve) => { delayingServer.close(resolve) })
    await peer.close()
  })

  it('keeps opening a link after a request stopped waiting, and uses it for later requests', async () => {
    const client = createPeerClient({
      host: 'asker', key: KEY, dialer: dial, connectTimeoutMs: REQUEST_MS, linkWaitMs: () => LINK_WAIT_MS
    })
    const ask = async (): Promise<unknown> => await client.request(endpoint, 'echo', { value: 1 }, REQUEST_MS)
    const first = await ask().catch((thrown: unknown) => thrown)
    expect((first as RequestError).verdict).toEqual('not-run')
    isPeerReady = true
    pendingSockets.forEach(connectToPeer)
    let answer: unknown
    for (let attempts = 0; answer === undefined && attempts < MAXIMUM_ATTEMPTS; attempts++) {
      answer = await ask().catch(() => undefined)
    }
    expect(answer).toEqual({ value: 1 })
    expect(connections).toEqual(1)
    client.close()
  })
})

describe('a peer that closes', () => {
  it('delivers the replies that it has sent, and takes no more requests', async () => {
    const requests: unknown[] = []
    let closing: Promise<void> | undefined
    const handlers = new Map<string, PeerHandler>([['large', async (body) => {
      requests.push(body)
      setImmediate(() => { closing = peer.close(REQUEST_MS) })
      return { text: 'x'.repeat(20_000_000) }
    }]])
    const peer = await listenForPeers({ host: 'closing', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
    const client = createPeerClient({ host: 'asker', key: KEY, dialer: createDialer() })
    const ask = async (): Promise<{ text: string }> =>
      await client.request({ address: ADDRESS, port: peer.port }, 'large', {}, REQUEST_MS) as { text: string }
    expect((await ask()).text.length).toEqual(20_000_000)
    await closing
    await expect(ask()).toBeRejected()
    expect(requests.length).toEqual(1)
    client.close()
  })
})
