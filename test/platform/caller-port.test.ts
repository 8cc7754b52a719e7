import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createCallerPort } from '../../platform/caller-port.ts'
import { MAXIMUM_MESSAGE_BYTES } from '../../platform/line-reader.ts'
import { digestOfKey } from '../../platform/secrets.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import type { WriteProgress } from '../../src/core/wire/write-rate.ts'
import type {
  CallerAnswer, CallerHandler, CallerLink, CallerPort, CallerRequest, StatementAnswer
} from '../../src/entry/ports/index.ts'

const closers: Array<() => Promise<void> | void> = []

interface Listening {
  port: number
  links: CallerLink[]
  served: CallerRequest[]
  close: Awaited<ReturnType<CallerPort['listen']>>['close']
}

async function freePort (): Promise<number> {
  const { createServer } = await import('node:net')
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = server.address()
  server.close()
  await once(server, 'close')
  return typeof address === 'object' && address !== null ? address.port : 0
}

async function listen (
  answer: (request: CallerRequest) => Promise<CallerAnswer>, onStart: (link: CallerLink) => void = () => {},
  mayWriteOn: (progress: WriteProgress) => boolean = () => true
): Promise<Listening> {
  const links: CallerLink[] = []
  const served: CallerRequest[] = []
  const port = await freePort()
  const listener = await createCallerPort(silentLogger).listen({ address: '127.0.0.1', port }, (link) => {
    links.push(link)
    onStart(link)
    const handler: CallerHandler = {
      serve: async (request) => {
        served.push(request)
        return await answer(request)
      },
      mayWriteOn,
      close: () => {}
    }
    return handler
  })
  closers.push(async () => { await listener.close(0) })
  return { port, links, served, close: listener.close }
}

interface Calling {
  socket: Socket
  text: () => string
  until: (part: string) => Promise<void>
}

async function call (port: number): Promise<Calling> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  closers.push(() => { socket.destroy() })
  let received = ''
  socket.on('data', (data) => { received += data.toString('latin1') })
  socket.on('error', () => {})
  await once(socket, 'connect')
  return {
    socket,
    text: () => received,
    until: async (part) => {
      while (!received.includes(part) && !socket.readableEnded) {
        await Promise.race([once(socket, 'data'), once(socket, 'end'), once(socket, 'close')])
      }
    }
  }
}

async function closed (socket: Socket): Promise<void> {
  if (!socket.closed) {
    await once(socket, 'close')
  }
}

const done: StatementAnswer = { rows: ['r w'], signature: 's.1', state: 'idle', position: { term: 3, position: 9 } }

afterEach(async () => {
  for (const close of closers.splice(0)) {
    await close()
  }
})

describe('caller port', () => {
  // Guards against an unexpected error while a request is handled, which ended the process with all its connections.
  it('ends only the connection of a request whose handling fails unexpectedly', async () => {
    const { port } = await listen(async ({ id }) => {
      if (id === 'bad') {
        throw new TypeError('unexpected')
      }
      return done
    })
    const [failing, other] = [await call(port), await call(port)]
    failing.socket.write('START lepu270 k\r\nQUERY bad READ 1a4\r\n')
    other.socket.write('START lepu270 k\r\n')
    await failing.until('DONE')
    other.socket.write('QUERY good READ 1a4\r\n')
    await other.until('DONE')
    expect(other.text()).toInclude('DONE s.1')
    expect(failing.text()).not.toInclude('DONE')
  })

  // Guards against an unexpected error while a line is read, which ended the process with all its connections.
  it('ends only the connection whose first line cannot be handled', async () => {
    const { port } = await listen(async () => done, ({ database }) => {
      if (database === 'bad') {
        throw new TypeError('unexpected')
      }
    })
    const [failing, other] = [await call(port), await call(port)]
    failing.socket.write('START bad k\r\n')
    await failing.until('READY')
    other.socket.write('START lepu270 k\r\nQUERY good READ 1a4\r\n')
    await other.until('DONE')
    expect(other.text()).toInclude('DONE s.1')
    expect(failing.text()).toEqual('')
  })

  it('passes on only the digest of a caller\'s key', async () => {
    const { port, links, served } = await listen(async () => done)
    const caller = await call(port)
    caller.socket.write('START lepu270 zpplehty3nwq81ssx04k\r\nQUERY 5c0e READ 1a4\r\n')
    await caller.until('DONE')
    expect(links[0]?.keyDigest).toEqual(digestOfKey('zpplehty3nwq81ssx04k'))
    expect(JSON.stringify([links, served]).includes('zpplehty3nwq81ssx04k')).toEqual(false)
  })

  it('forwards texts byte for byte and writes the complete answer', async () => {
    const { port, served } = await listen(async () => done)
    const caller = await call(port)
    caller.socket.write(Buffer.from('START d1 u1\r\nQUERY 7a WRITE k a  b\xe9 \r\n', 'latin1'))
    await caller.until('3.9')
    expect(caller.text()).toEqual('READY I -\r\nROW r w\r\nDONE s.1\r\nREADY I 3.9\r\n')
    expect(served).toEqual([{ id: '7a', statement: { type: 'data', access: 'write', text: 'WRITE k a  b\xe9 ' } }])
  })

  it('ignores requests received after it has ended the connection', async () => {
    const { port, links, served } = await listen(async () => done)
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\n')
    await caller.until('READY')
    links[0]!.end()
    await once(caller.socket, 'end')
    caller.socket.write('QUERY 7a WRITE k v\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    expect(served).toEqual([])
  })

  it('answers the request in progress before it ends the connection', async () => {
    let finish = (_answer: StatementAnswer): void => {}
    const { port, links } = await listen(async () => await new Promise((resolve) => { finish = resolve }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\nQUERY 7a READ k\r\n')
    await caller.until('READY')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    links[0]!.end()
    finish(done)
    await once(caller.socket, 'end')
    expect(caller.text()).toEqual('READY I -\r\nROW r w\r\nDONE s.1\r\nREADY I 3.9\r\n')
  })

  it('answers each request that it reads before the end of the connection', async () => {
    const finish: Array<(answer: StatementAnswer) => void> = []
    const { port, links, served } = await listen(async () => await new Promise((resolve) => { finish.push(resolve) }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\nQUERY 7a READ k\r\nQUERY 7b READ k\r\n')
    await caller.until('READY')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    links[0]!.end()
    caller.socket.write('QUERY 7c READ k\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    expect(served.map(({ id }) => id)).toEqual(['7a', '7b', '7c'])
    finish.forEach((answer) => answer(done))
    await once(caller.socket, 'end')
    expect(caller.text().split('DONE').length - 1).toEqual(3)
  })

  it('answers a request that arrives together with the start of a session that is ended at once', async () => {
    const { port, served } = await listen(async () => done, (link) => link.end())
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\nQUERY 7a READ k\r\n')
    await once(caller.socket, 'end')
    expect([served.length, caller.text().split('DONE').length - 1]).toEqual([1, 1])
  })

  // Guards against READY to a caller whose next request would be cut off.
  it('answers a start that is refused with the failure, then ends the connection', async () => {
    const { port, served } = await listen(async () => done,
      (link) => link.refuseStart({ kind: 'busy', message: 'this host is stopping' }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\nQUERY 7a READ k\r\n')
    await once(caller.socket, 'end')
    expect([caller.text(), served]).toEqual(['ERR BUSY this host is stopping\r\n', []])
  })

  // Guards against the loss of requests that a paused connection has read when its end is decided.
  it('answers the requests that it has read but not taken when it decides to end the connection', async () => {
    const finish: Array<(answer: StatementAnswer) => void> = []
    let isEnding = false
    const { port, links, served } = await listen(async () =>
      isEnding ? done : await new Promise((resolve) => { finish.push(resolve) }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\n' + 'QUERY 7a READ k\r\n'.repeat(70))
    await caller.until('READY')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    caller.socket.write('QUERY 7b READ k\r\n'.repeat(10))
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    expect(served.length).toEqual(65)
    isEnding = true
    links[0]!.end()
    finish.forEach((answer) => answer(done))
    await once(caller.socket, 'end')
    expect([served.length, caller.text().split('DONE').length - 1]).toEqual([80, 80])
  })

  it('reads no further requests of a caller while many are unanswered, and drops none', async () => {
    const finish: Array<(answer: StatementAnswer) => void> = []
    const { port, served } = await listen(async () => await new Promise((resolve) => { finish.push(resolve) }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\n')
    await caller.until('READY')
    const line = `QUERY 7a WRITE k ${'x'.repeat(5000)}\r\n`
    for (let sent = 0; sent < 400; sent++) {
      caller.socket.write(line)
    }
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    expect(served.length < 150).toEqual(true)
    const answering = setInterval(() => finish.splice(0).forEach((answer) => answer(done)), 1)
    while (caller.text().split('DONE').length - 1 < 400 && !caller.socket.closed) {
      await Promise.race([once(caller.socket, 'data'), once(caller.socket, 'close')])
    }
    clearInterval(answering)
    expect(served.length).toEqual(400)
  })

  it('answers the requests of a caller that has closed its sending side, then ends the connection', async () => {
    const finish: Array<(answer: StatementAnswer) => void> = []
    const { port } = await listen(async () => await new Promise((resolve) => { finish.push(resolve) }))
    const caller = await call(port)
    caller.socket.end('START d1 u1\r\nQUERY 7a READ k\r\nQUERY 7b READ k\r\n')
    await caller.until('READY')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    finish.forEach((answer) => answer(done))
    await closed(caller.socket)
    expect(caller.text().split('DONE').length - 1).toEqual(2)
  })

  it('ends the connection of a caller that leaves without a request', async () => {
    const { port } = await listen(async () => done)
    const caller = await call(port)
    caller.socket.end('START d1 u1\r\n')
    const unstarted = await call(port)
    unstarted.socket.end()
    await Promise.all([closed(caller.socket), closed(unstarted.socket)])
    expect([caller.text(), unstarted.text()]).toEqual(['READY I -\r\n', ''])
  })

  it('delivers a large answer whole to a slow reader although the host closes meanwhile', async () => {
    const { port, close } = await listen(async () => ({ ...done, rows: Array.from({ length: 60 }, () => 'x'.repeat(1e5)) }))
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\n')
    await caller.until('READY')
    caller.socket.pause()
    caller.socket.write('QUERY 7a READ k\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    const closing = close(60_000)
    caller.socket.resume()
    await once(caller.socket, 'end')
    expect(caller.text().length > 6e6 && caller.text().endsWith('READY I 3.9\r\n')).toEqual(true)
    caller.socket.end()
    expect(await closing).toEqual([])
  })

  // Guards against answers that are cut off because nothing but the whole answer can end them.
  it('ends a large answer before its next row when its handler says so, and writes the answers behind it', async () => {
    const large: CallerAnswer = {
      ...done,
      rows: Array.from({ length: 300 }, () => 'x'.repeat(1e5)),
      withoutRows: () => ({ rows: [], failure: { kind: 'aborted', message: 'stopping' }, state: 'idle' })
    }
    let isStopping = false
    const { port, links } = await listen(
      async ({ id }) => id === '7a' ? large : done, () => {}, () => !isStopping)
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\n')
    await caller.until('READY')
    caller.socket.pause()
    caller.socket.write('QUERY 7a READ k\r\nQUERY 7b READ k\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    isStopping = true
    links[0]!.end()
    caller.socket.resume()
    await once(caller.socket, 'end')
    const lines = caller.text().split('\r\n')
    expect(lines.slice(-6)).toEqual(['ERR ABORTED stopping', 'READY I -', 'ROW r w', 'DONE s.1', 'READY I 3.9', ''])
    const rows = lines.filter((line) => line === `ROW ${'x'.repeat(1e5)}`).length
    expect([rows > 0 && rows < 300, lines.length]).toEqual([true, rows + 7])
  })

  it('asks before a large answer and after each wait, with what the connection has taken at once', async () => {
    const large = { ...done, rows: Array.from({ length: 300 }, () => 'x'.repeat(1e5)) }
    const asked: WriteProgress[] = []
    const { port } = await listen(async ({ id }) => id === '7a' ? large : done, () => {}, (progress) => {
      asked.push(progress)
      return true
    })
    const caller = await call(port)
    caller.socket.write('START d1 u1\r\nQUERY 7b READ k\r\n')
    await caller.until('3.9')
    expect(asked).toEqual([])
    caller.socket.pause()
    caller.socket.write('QUERY 7a READ k\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    expect(asked).toEqual([{ remainingBytes: 3e7, roomBytes: 262_144, longestWaitMs: undefined }])
    caller.socket.resume()
    while (!caller.text().endsWith('READY I 3.9\r\n') || caller.text().length < 3e7) {
      await once(caller.socket, 'data')
    }
    expect(asked.length > 1 && asked[1]!.remainingBytes < 3e7 && asked[1]!.longestWaitMs! >= 40).toEqual(true)
  })

  it('closes connections when the time for answers is over, and names the requests without a whole one', async () => {
    const { port, close } = await listen(async ({ id }) => id === '7b'
      ? await new Promise<StatementAnswer>(() => {})
      : { ...done, rows: Array.from({ length: 200 }, () => 'x'.repeat(1e5)) })
    const reader = await call(port)
    const waiter = await call(port)
    reader.socket.write('START d1 u1\r\n')
    waiter.socket.write('START d1 u1\r\nQUERY 7b READ k\r\n')
    await Promise.all([reader.until('READY'), waiter.until('READY')])
    reader.socket.pause()
    reader.socket.write('QUERY 7a READ k\r\n')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    expect(await close(50)).toEqual([{ id: '7a', stage: 'unflushed' }, { id: '7b', stage: 'in-progress' }])
  })

  it('rejects invalid input with an error and keeps serving other callers', async () => {
    const { port } = await listen(async () => done)
    const other = await call(port)
    other.socket.write('START d1 u1\r\n')
    const wrong = await call(port)
    wrong.socket.write('HELLO\r\n')
    await wrong.until('ERR')
    expect(wrong.text()).toEqual('ERR MALFORMED the first line must be START\r\n')
    const long = await call(port)
    long.socket.write('START d1 u1\r\n' + 'x'.repeat(MAXIMUM_MESSAGE_BYTES + 1))
    await long.until('TOOBIG')
    expect(long.text()).toEqual('READY I -\r\nERR TOOBIG a message may have 1 MiB\r\n')
    other.socket.write('QUERY 1 READ k\r\n')
    await other.until('3.9')
    expect(other.text().endsWith('READY I 3.9\r\n')).toEqual(true)
  })
})
