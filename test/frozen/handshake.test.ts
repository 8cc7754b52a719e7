import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { createHmac } from 'node:crypto'
import { expect } from 'earl'
import { RequestError } from '../../src/core/errors/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { proveKey } from '../../src/peers/authentication.ts'
import { createPeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import type { PeerHandler } from '../../src/peers/types.ts'

const KEY = 'a-key-for-all-the-tests'
const ADDRESS = '127.0.0.1'
const NONCE_HEX = '000102030405060708090a0b0c0d0e0f'
const HEADER_BYTES = 4

/** Reads complete frames from a socket, in hexadecimal without the length prefix. */
function createFrameReader (socket: Socket): () => Promise<string> {
  let data = Buffer.alloc(0)
  const closed = once(socket, 'close').then(() => { throw new Error('the link was closed') })
  closed.catch(() => {})
  socket.on('data', (chunk: Buffer) => { data = Buffer.concat([data, chunk]) })
  return async () => {
    while (data.length < HEADER_BYTES || data.length < HEADER_BYTES + data.readUInt32BE(0)) {
      await Promise.race([once(socket, 'data'), closed])
    }
    const end = HEADER_BYTES + data.readUInt32BE(0)
    const frame = data.subarray(HEADER_BYTES, end).toString('hex')
    data = data.subarray(end)
    return frame
  }
}

function sendFrame (socket: Socket, hex: string): void {
  const body = Buffer.from(hex, 'hex')
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(body.length, 0)
  socket.write(Buffer.concat([header, body]))
}

const textHex = (text: string): string => Buffer.from(text).toString('hex')

/** Computes the key proof that all releases send. */
function proofHex (role: string, host: string, nonceHex: string): string {
  return createHmac('sha256', KEY).update(`${role}\0${host}\0`).update(Buffer.from(nonceHex, 'hex')).digest('hex')
}

const CHALLENGE = /^b900020269(6368616c6c656e6765)656e6f6e636550([0-9a-f]{32})$/
const HELLO = /^b90004026568656c6c6f64686f7374626831(6570726f6f66)5820([0-9a-f]{64})656e6f6e636550([0-9a-f]{32})$/

const challengeHex = (nonceHex: string): string => `b900020269${textHex('challenge')}65${textHex('nonce')}50${nonceHex}`
const helloHex = (nonceHex: string, proof: string): string =>
  `b900040265${textHex('hello')}64${textHex('host')}62${textHex('h1')}65${textHex('proof')}5820${proof}` +
  `65${textHex('nonce')}50${nonceHex}`
const welcomeHex = (proof: string): string =>
  `b900030267${textHex('welcome')}64${textHex('host')}62${textHex('h2')}65${textHex('proof')}5820${proof}`

describe('handshake encoding between entry processes is unchanged', () => {
  const ends: Array<() => Promise<void> | void> = []
  afterEach(async () => {
    for (const end of ends.splice(0).reverse()) {
      await end()
    }
  })

  it('in proofs', () => {
    const nonce = Buffer.from(NONCE_HEX, 'hex')
    expect(proveKey(KEY, 'client', nonce, 'front-1').toString('hex'))
      .toEqual('1ba98362d3f300a6f648e5051f19ad8ac42eb4d1d0a5cce5d63afe2e33eb901d')
    expect(proveKey(KEY, 'server', nonce, 'front-1').toString('hex'))
      .toEqual('97e40cb80a69be9f1d773b7597f5922ddb706d1e5e7d066435b7d7da5ebefd55')
  })

  it('on the accepting side, including responses', async () => {
    const refuse: PeerHandler = async () => {
      throw new RequestError('not-run', 'TransactionLost', { reason: 'its home has ended it' })
    }
    const handlers = new Map<string, PeerHandler>([['echo', async (body, { host }) => ({ body, host })], ['refuse', refuse]])
    const server = await listenForPeers({ host: 'h2', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
    const socket = connect(server.port, ADDRESS)
    ends.push(async () => await server.close(), () => { socket.destroy() })
    const next = createFrameReader(socket)
    const [, , nonce = ''] = CHALLENGE.exec(await next()) ?? []
    expect(nonce.length).toEqual(32)
    sendFrame(socket, helloHex(NONCE_HEX, proofHex('client', 'h1', nonce)))
    expect(await next()).toEqual(welcomeHex(proofHex('server', 'h2', NONCE_HEX)))
    sendFrame(socket, `b9000301010264${textHex('echo')}0363${textHex('abc')}`)
    expect(await next()).toEqual('b9000203b90002036361626364686f73746268310101')
    sendFrame(socket, `b9000301020266${textHex('refuse')}03f6`)
    expect(await next()).toEqual('b9000204b9000305676e6f742d72756e066f5472616e73616374696f6e4c6f737407b90001181a7569747320686f6d652068617320656e6465642069740102')
    sendFrame(socket, `b9000301030265${textHex('other')}03f6`)
    expect(await next()).toEqual('b9000204b90003056c6d61792d686176652d72756e0674556e737570706f7274656453746174656d656e7407b90001181a746e6f2068616e646c657220666f72206f746865720103')
  })

  it('on the connecting side, including requests', async () => {
    const server = createServer().listen(0, ADDRESS)
    await once(server, 'listening')
    const client = createPeerClient({ host: 'h1', key: KEY, dialer: createDialer(), connectTimeoutMs: 5000 })
    ends.push(() => { server.close() }, () => client.close())
    const connected = once(server, 'connection')
    const { port } = server.address() as AddressInfo
    const answer = client.request({ address: ADDRESS, port }, 'limit-take', { organisation: 'red', version: 7 }, 5000)
    const [socket] = await connected as [Socket]
    const next = createFrameReader(socket)
    sendFrame(socket, challengeHex(NONCE_HEX))
    const hello = await next()
    const [, , proof = '', nonce = ''] = HELLO.exec(hello) ?? []
    expect(hello).toEqual(helloHex(nonce, proofHex('client', 'h1', NONCE_HEX)))
    expect(proof).toEqual(proofHex('client', 'h1', NONCE_HEX))
    sendFrame(socket, welcomeHex(proofHex('server', 'h2', nonce)))
    expect(await next())
      .toEqual('b900030101026a6c696d69742d74616b6503b900026c6f7267616e69736174696f6e63726564182607')
    sendFrame(socket, `b900020363${textHex('abc')}0101`)
    expect(await answer).toEqual('abc')
    const failing = client.request({ address: ADDRESS, port }, 'reach', { upstream: 'g-a' }, 5000)
    expect(await next()).toEqual('b9000301020265726561636803b900010c63672d61')
    sendFrame(socket, 'b9000204b9000305676e6f742d72756e066f5472616e73616374696f6e4c6f737407b90001181a7569747320686f6d652068617320656e6465642069740102')
    const thrown = await failing.then(() => undefined, (error: unknown) => error) as RequestError
    expect<unknown[]>([thrown.verdict, thrown.entry, thrown.details])
      .toEqual(['not-run', 'TransactionLost', { reason: 'its home has ended it' }])
  })
})
