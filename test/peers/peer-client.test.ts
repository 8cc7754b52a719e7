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
/** Wait for a link, in milliseconds: the peer stays busy until the test lets it go on. */
const LINK_WAIT_MS = 20
const REQUEST_MS = 5000
/** Tries of a request while the link is opened. */
const TRIES = 100

describe('a link to a busy peer', () => {
  let peer: Awaited<ReturnType<typeof listenForPeers>>
  let gate: Server
  let endpoint: Endpoint
  let held: Socket[]
  let connections: number
  const dial = createDialer()

  beforeEach(async () => {
    const handlers = new Map<string, PeerHandler>([['echo', async (body) => body]])
    peer = await listenForPeers({ host: 'busy', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
    held = []
    connections = 0
    gate = createServer((socket) => {
      connections++
      held.push(socket)
    })
    await new Promise<void>((resolve) => { gate.listen(0, ADDRESS, resolve) })
    endpoint = { address: ADDRESS, port: (gate.address() as AddressInfo).port }
  })
  afterEach(async () => {
    held.forEach((socket) => socket.destroy())
    await new Promise((resolve) => { gate.close(resolve) })
    await peer.close()
  })
  const letGoOn = (): void => held.forEach((socket) => {
    const onward = dial({ address: ADDRESS, port: peer.port })
    socket.pipe(onward).pipe(socket)
  })

  it('is opened further when a request no longer waits for it, and takes the next ones', async () => {
    const client = createPeerClient({
      host: 'asker', key: KEY, dialer: dial, connectTimeoutMs: REQUEST_MS, linkWaitMs: LINK_WAIT_MS
    })
    const ask = async (): Promise<unknown> => await client.request(endpoint, 'echo', { value: 1 }, REQUEST_MS)
    const first = await ask().catch((thrown: unknown) => thrown)
    expect((first as RequestError).verdict).toEqual('not-run')
    letGoOn()
    let answer: unknown
    for (let tries = 0; answer === undefined && tries < TRIES; tries++) {
      answer = await ask().catch(() => undefined)
    }
    expect(answer).toEqual({ value: 1 })
    expect(connections).toEqual(1)
    client.close()
  })
})
