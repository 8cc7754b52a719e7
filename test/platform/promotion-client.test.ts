import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createHttpClient, type HttpClient } from '../../platform/http-client.ts'
import { createPromotion } from '../../platform/promotion-client.ts'

const ORDER = { group: 'g', upstream: 'i-1', holder: 'h1', fence: 7 }

describe('an order to promote', () => {
  let server: Server
  let client: HttpClient
  let accepted: Promise<Socket>
  /** Called for the client's socket before it connects. */
  let onDial: (socket: Socket) => void

  beforeEach(async () => {
    onDial = () => {}
    server = createServer({ pauseOnConnect: true }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    accepted = once(server, 'connection').then(([socket]) => socket as Socket)
    const { port } = server.address() as AddressInfo
    client = createHttpClient({ address: '127.0.0.1', port }, (target) => {
      const socket = connect({ host: target.address, port: target.port })
      onDial(socket)
      return socket
    }, { keepAlive: false })
  })
  afterEach(async () => {
    client.close()
    await new Promise((resolve) => server.close(resolve))
  })

  /** Reads all that the server has received, and how the connection ended. */
  const readToEnd = async (socket: Socket): Promise<{ text: string, end: string }> => {
    const chunks: Buffer[] = []
    let end = 'closed'
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    socket.on('error', (error: NodeJS.ErrnoException) => { end = error.code ?? error.message })
    const closed = new Promise((resolve) => socket.once('close', resolve))
    socket.resume()
    await closed
    return { text: Buffer.concat(chunks).toString(), end }
  }

  it('is not sent if the permission ends while its sender connects', async () => {
    let mayOrder = true
    onDial = (socket) => socket.prependOnceListener('connect', () => { mayOrder = false })
    const ordering = createPromotion(client).promote(ORDER, () => mayOrder).catch(() => 'sent')
    const socket = await accepted
    expect([await ordering, (await readToEnd(socket)).text]).toEqual(['withheld', ''])
  })

  it('resets its connection when it times out, so that the kernel does not deliver it later', async () => {
    const ordering = createPromotion(client).promote(ORDER, () => true).catch(() => 'no answer')
    const received = readToEnd(await accepted)
    expect(await ordering).toEqual('no answer')
    expect((await received).end).toEqual('ECONNRESET')
  })

  it('is sent once its connection is established', async () => {
    const ordering = createPromotion(client).promote(ORDER, () => true)
    const socket = await accepted
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'))
    socket.resume()
    expect(await ordering).toEqual('accepted')
  })
})
