import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createHttpClient, type HttpClient } from '../../platform/http-client.ts'

/** Timeout of the client's calls, in milliseconds. */
const TIMEOUT_MS = 200
/** Time that the server takes for a slow call, in milliseconds. */
const SLOW_MS = 150
/** Time between two parts of an answer, in milliseconds; all of them take longer than the timeout. */
const PART_MS = 80
/** Timeout of a call that is answered, in milliseconds. */
const AMPLE_MS = 10_000
/** Time after which a call on an old connection is repeated, in milliseconds. */
const REPEAT_AFTER_MS = 50

describe('createHttpClient', () => {
  let server: Server
  let client: HttpClient
  const sockets: Socket[] = []
  /** Number of parts of an answer that the server sends; a call of the path `/stops` receives all but one. */
  const PARTS = 5
  /** Connections whose requests the server doesn't answer. */
  const silent = new Set<Socket>()

  /** Sends parts of an answer, the first one at once and each further one after a pause. */
  const sendParts = (response: ServerResponse, parts: number): void => {
    let sent = 0
    const sendNext = (): void => {
      response.write('part')
      if (++sent < parts) {
        setTimeout(sendNext, PART_MS)
      } else if (parts === PARTS) {
        response.end()
      }
    }
    sendNext()
  }
  const start = async (keepAlive: boolean): Promise<void> => {
    sockets.length = 0
    silent.clear()
    server = createServer((request, response) => {
      if (request.url === '/parts' || request.url === '/stops') {
        sendParts(response, request.url === '/parts' ? PARTS : PARTS - 1)
        return
      }
      const isNew = request.socket === sockets.at(-1)
      if (!silent.has(request.socket) && !(request.url === '/slow-on-old' && isNew && sockets.length > 1)) {
        setTimeout(() => response.end('{}'), request.url === '/' ? 20 : SLOW_MS)
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

  it('repeats a call without effects on a new connection when an old one is silent', async () => {
    await start(true)
    await Promise.all([ask(), ask()])
    sockets.forEach((socket) => silent.add(socket))
    const call = { method: 'GET', path: '/', timeoutMs: AMPLE_MS, repeatAfterMs: REPEAT_AFTER_MS } as const
    expect([(await client.send(call)).status, sockets.length]).toEqual([200, 3])
    expect([(await client.send(call)).status, sockets.length]).toEqual([200, 3])
  })

  it('does not repeat a call on a new connection, whose server is only slow', async () => {
    await start(true)
    const answers = client.send({ method: 'GET', path: '/slow', timeoutMs: AMPLE_MS, repeatAfterMs: REPEAT_AFTER_MS })
    expect([(await answers).status, sockets.length]).toEqual([200, 1])
  })

  it('takes the answer of an old connection that was only slow', async () => {
    await start(true)
    await ask()
    const answers = client.send({ method: 'GET', path: '/slow-on-old', timeoutMs: AMPLE_MS, repeatAfterMs: REPEAT_AFTER_MS })
    expect((await answers).status).toEqual(200)
  })

  // Guards against a time limit on a whole transfer: on a narrow link a large row was given up and read anew for good.
  it('waits for an answer that keeps arriving for longer than the timeout', async () => {
    await start(true)
    let answering = 0
    const call = { method: 'GET', path: '/parts', timeoutMs: TIMEOUT_MS, onAnswering: () => { answering++ } } as const
    expect((await client.send(call)).body).toEqual('part'.repeat(PARTS))
    expect(answering).toEqual(1)
  })

  it('gives up an answer that stops arriving', async () => {
    await start(true)
    await expect(client.send({ method: 'GET', path: '/stops', timeoutMs: AMPLE_MS, progressTimeoutMs: TIMEOUT_MS }))
      .toBeRejectedWith('stopped arriving')
  })

  // Guards against a second transfer of the same answer, which shares the link with the first one.
  it('does not repeat a call whose answer is arriving', async () => {
    await start(true)
    await ask()
    const call = { method: 'GET', path: '/parts', timeoutMs: TIMEOUT_MS, repeatAfterMs: REPEAT_AFTER_MS } as const
    expect([(await client.send(call)).body, sockets.length]).toEqual(['part'.repeat(PARTS), 1])
  })

  it('opens a connection for each call without keep-alive', async () => {
    await start(false)
    await ask()
    await ask()
    expect(sockets.length).toEqual(2)
  })
})
