import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createHttpClient, type HttpClient } from '../../platform/http-client.ts'

/** Timeout of the client's calls, in milliseconds. */
const TIMEOUT_MS = 200

describe('createHttpClient', () => {
  let server: Server
  let client: HttpClient
  const sockets: Socket[] = []
  /** Connections whose requests the server doesn't answer. */
  const silent = new Set<Socket>()

  const start = async (keepAlive: boolean): Promise<void> => {
    sockets.length = 0
    silent.clear()
    server = createServer((request, response) => {
      if (!silent.has(request.socket)) {
        setTimeout(() => response.end('{}'), 20)
      }
    }).listen(0, '127.0.0.1')
    server.on('connection', (socket) => sockets.push(socket))
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    client = createHttpClient({ address: '127.0.0.1', port }, (target) =>
      connect({ host: target.address, port: target.port }), { keepAlive })
  }
  const ask = async (): Promise<number> =>
    (await client.send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })).status

  afterEach(async () => {
    client.close()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  it('reuses a connection', async () => {
    await start(true)
    await ask()
    await ask()
    expect(sockets.length).toEqual(1)
  })

  it('closes idle connections after a call has timed out', async () => {
    await start(true)
    await Promise.all([ask(), ask(), ask()])
    sockets.forEach((socket) => silent.add(socket))
    await expect(ask()).toBeRejected()
    expect(await ask()).toEqual(200)
    expect(sockets.length).toEqual(4)
  })

  it('opens a connection for each call without keep-alive', async () => {
    await start(false)
    await ask()
    await ask()
    expect(sockets.length).toEqual(2)
  })
})
