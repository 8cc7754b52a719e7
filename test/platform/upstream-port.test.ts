import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { MAXIMUM_MESSAGE_BYTES } from '../../platform/line-reader.ts'
import { createUpstreamPort } from '../../platform/upstream-port.ts'
import { createMemoryBudget, type MemoryBudget } from '../../src/core/memory/memory-budget.ts'
import { RequestError } from '../../src/core/errors/index.ts'
import type { UpstreamConnection, UpstreamPort } from '../../src/entry/ports/index.ts'

/** Timeout for opening a connection, in milliseconds. */
const OPEN_MS = 400
const LINE_END = '\r\n'
/** Rows of a large answer, and the size of each, in bytes. */
const LARGE_ROWS = 1000
const ROW_BYTES = 16_000
/** Limits of heaps that can hold a large answer and that cannot, in bytes. */
const AMPLE_BYTES = 100_000_000
const SCARCE_BYTES = 16_000_000

describe('upstream port', () => {
  let server: Server
  let port: UpstreamPort
  let budget: MemoryBudget
  let received: string[]
  /** Returns the upstream's answer to a line, or undefined to send none. */
  let answer: (line: string, socket: Socket) => string[] | undefined
  const limitHeap = (heapBytes: number): void => {
    budget = createMemoryBudget(heapBytes)
    port = createUpstreamPort((endpoint) => connect({ host: endpoint.address, port: endpoint.port }), budget)
  }
  beforeEach(async () => {
    received = []
    answer = (line) => line.startsWith('START') ? ['READY I 3.1207'] : ['DONE -', 'READY I 3.1207']
    server = createServer((socket) => {
      let partial = ''
      socket.on('error', () => {})
      socket.setEncoding('latin1').on('data', (data) => {
        const lines = (partial + String(data)).split(LINE_END)
        partial = lines.pop()!
        for (const line of lines) {
          received.push(line)
          const reply = answer(line, socket)
          if (reply !== undefined) {
            socket.write(reply.join(LINE_END) + LINE_END, 'latin1')
          }
        }
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    limitHeap(AMPLE_BYTES)
  })
  const connections: UpstreamConnection[] = []
  afterEach(async () => {
    connections.splice(0).forEach((connection) => connection.close())
    await new Promise((resolve) => server.close(resolve))
  })
  const open = async (organisation = ''): Promise<UpstreamConnection> => {
    const endpoint = { address: '127.0.0.1', port: (server.address() as AddressInfo).port }
    const connection = await port.open({ group: 'lepu270', upstream: 'i-7f3a91c2', endpoint },
      { organisation, timeoutMs: OPEN_MS })
    connections.push(connection)
    return connection
  }
  const errorOf = async (pending: Promise<unknown>): Promise<RequestError> => {
    const thrown = await pending.then(() => undefined, (error: unknown) => error)
    expect(thrown).toBeA(RequestError)
    return thrown as RequestError
  }

  it('sends the group and the id of the expected upstream', async () => {
    await open()
    expect(received).toEqual(['START lepu270 worksward i-7f3a91c2'])
    await open('reader-club')
    expect(received.at(-1)).toEqual('START lepu270 reader-club i-7f3a91c2')
  })

  it('encodes ids, texts and positions, and decodes rows, signature, state and position', async () => {
    const connection = await open()
    answer = () => ['ROW qhzk wmt', 'ROW ', 'DONE 7.1f3.c', 'READY T 3.1209']
    const read = await connection.run({
      type: 'data', requestId: '5c0e', text: 'READ 1a4  b', after: { term: 3, position: 1207 }
    })
    expect(received.at(-1)).toEqual('QUERY 5c0e AFTER 3.1207 READ 1a4  b')
    expect(read).toEqual({
      rows: ['qhzk wmt', ''], signature: '7.1f3.c', state: 'open', position: { term: 3, position: 1209 }
    })
  })

  it('sends no id with statements that no caller sent', async () => {
    const connection = await open()
    const prepared = { access: 'write', shape: 'q2 c' } as const
    await connection.run({ type: 'prepare', name: 'w1', prepared })
    await connection.run({ type: 'execute', requestId: 'ab', name: 'w1', parameters: '1a4 x y' })
    await connection.run({ type: 'begin', readOnly: true, after: { term: 1, position: 2 } })
    expect(received.slice(1)).toEqual([
      'QUERY - PREPARE w1 WRITE q2 c', 'QUERY ab EXEC w1 1a4 x y', 'QUERY - AFTER 1.2 BEGIN READ'
    ])
  })

  // Guards against answers whose rows end the process by the limit of its heap, and the next one by the caller's retry.
  it('ends a read whose answer cannot be held, without a retry elsewhere, and closes its connection', async () => {
    limitHeap(SCARCE_BYTES)
    const connection = await open()
    answer = (line) => line.startsWith('START')
      ? ['READY I -']
      : [...Array.from({ length: LARGE_ROWS }, () => `ROW ${'x'.repeat(ROW_BYTES)}`), 'DONE 7.1', 'READY I 3.1']
    const { rows, failure, state } = await connection.run({ type: 'data', requestId: 'r', text: 'READ large' })
    expect([rows.length, failure?.kind, state, connection.closed]).toEqual([0, 'too-large', 'idle', true])
    expect(/^the answer takes \d+ bytes, .* of \d+ bytes$/.test(failure!.message)).toEqual(true)
    expect(budget.heldBytes('answers')).toEqual(0)
  })

  it('ends a transaction with its connection if an answer in it cannot be held', async () => {
    limitHeap(SCARCE_BYTES)
    const connection = await open()
    answer = () => ['DONE -', 'READY T 3.1']
    await connection.run({ type: 'begin', readOnly: true })
    answer = () => [...Array.from({ length: LARGE_ROWS }, () => `ROW ${'x'.repeat(ROW_BYTES)}`), 'DONE 7.1', 'READY T 3.1']
    const error = await errorOf(connection.run({ type: 'data', requestId: 'r', text: 'READ large' }))
    expect([error.verdict, error.entry, connection.closed]).toEqual(['may-have-run', 'ConnectionLost', true])
  })

  it('passes on a large answer while there is room', async () => {
    const connection = await open()
    answer = () => [...Array.from({ length: LARGE_ROWS }, () => `ROW ${'x'.repeat(ROW_BYTES)}`), 'DONE 7.1', 'READY I 3.1']
    expect((await connection.run({ type: 'data', requestId: 'r', text: 'READ large' })).rows.length).toEqual(LARGE_ROWS)
    expect(budget.heldBytes('answers')).toEqual(0)
  })

  // Guards against many short rows, each of which takes more memory than its text.
  it('ends a read of many short rows that cannot be held', async () => {
    limitHeap(SCARCE_BYTES)
    const connection = await open()
    answer = () => [...Array.from({ length: 200_000 }, () => 'ROW xxxx'), 'DONE 7.1', 'READY I 3.1']
    const { rows, failure } = await connection.run({ type: 'data', requestId: 'r', text: 'READ large' })
    expect([rows.length, failure?.kind, budget.heldBytes('answers')]).toEqual([0, 'too-large', 0])
  })

  it('counts an answer while it is read, until its connection is closed', async () => {
    const connection = await open()
    answer = () => Array.from({ length: LARGE_ROWS }, () => `ROW ${'x'.repeat(ROW_BYTES)}`)
    const lost = errorOf(connection.run({ type: 'data', requestId: 'r', text: 'READ large' }))
    while (budget.heldBytes('answers') < LARGE_ROWS * ROW_BYTES / 2) {
      await new Promise((resolve) => { setTimeout(resolve, 1) })
    }
    connection.close()
    expect([(await lost).entry, budget.heldBytes('answers')]).toEqual(['ConnectionLost', 0])
  })

  const REFUSALS = [['READONLY', 'read-only'], ['LAGGING', 'lagging'], ['NOSTMT', 'unknown-statement'], ['WHAT', 'failed']]
  for (const [code, kind] of REFUSALS) {
    it(`decodes the refusal ${code}`, async () => {
      const connection = await open()
      answer = () => [`ERR ${code} i-7f3a91c2 says so`, 'READY E -']
      const { failure, state, position } = await connection.run({ type: 'rollback' })
      expect({ failure, state, position }).toEqual({
        failure: { kind: kind as 'failed', message: 'i-7f3a91c2 says so' }, state: 'failed', position: undefined
      })
    })
  }

  for (const [code, reason] of [['MISROUTED', 'misrouted'], ['TOOMANY', 'too-many-connections'], ['BUSY', 'busy']]) {
    it(`reports that nothing ran if a connection is refused with ${code}`, async () => {
      answer = (_line, socket) => {
        socket.end(`ERR ${code} i-1${LINE_END}`)
        return undefined
      }
      const error = await errorOf(open())
      expect([error.verdict, error.entry, (error.details as { reason: string }).reason])
        .toEqual(['not-run', 'UpstreamRefused', reason!])
    })
  }

  it('gives up opening a connection after the timeout', async () => {
    answer = () => undefined
    expect((await errorOf(open())).verdict).toEqual('not-run')
  })

  it('reports that a statement may have run if its connection breaks', async () => {
    const connection = await open()
    answer = (_line, socket) => {
      socket.end(`ROW half${LINE_END}`)
      return undefined
    }
    const write = connection.run({ type: 'data', requestId: 'a', text: 'WRITE 1 x' })
    expect((await errorOf(write)).verdict).toEqual('may-have-run')
    expect(connection.closed).toEqual(true)
    expect((await errorOf(connection.run({ type: 'rollback' }))).verdict).toEqual('not-run')
  })

  it('closes a connection that sends an unexpected line', async () => {
    const connection = await open()
    answer = () => ['DONE -', 'READY I -', 'ROW late']
    await connection.run({ type: 'reset' }).catch(() => {})
    expect((await errorOf(connection.run({ type: 'reset' }))).entry).toEqual('ConnectionLost')
    expect(connection.closed).toEqual(true)
  })

  const BAD_LINES = [['an oversized line', `ROW ${'x'.repeat(MAXIMUM_MESSAGE_BYTES)}`], ['an invalid line', 'READY ? 1.1']]
  for (const [what, line] of BAD_LINES) {
    it(`closes a connection that sends ${what}`, async () => {
      const connection = await open()
      answer = () => [line!]
      expect((await errorOf(connection.run({ type: 'reset' }))).verdict).toEqual('may-have-run')
      expect(connection.closed).toEqual(true)
    })
  }

  it('decodes a status', async () => {
    const connection = await open()
    answer = () => ['ROW replica 3 3.1209 0 12 2 17', 'DONE -', 'READY I 3.1204']
    expect(await connection.status()).toEqual({ role: 'replica', term: 3, received: { term: 3, position: 1209 } })
    expect(received.at(-1)).toEqual('QUERY - STATUS')
    await connection.demote(4)
    expect(received.at(-1)).toEqual('QUERY - DEMOTE 4')
  })

  it('rejects if the status is invalid', async () => {
    const connection = await open()
    answer = () => ['ERR BUSY i-7f3a91c2', 'READY I -']
    expect((await errorOf(connection.status())).verdict).toEqual('not-run')
  })
})
