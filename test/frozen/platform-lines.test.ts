import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createCallerPort } from '../../platform/caller-port.ts'
import { createUpstreamPort } from '../../platform/upstream-port.ts'
import {
  decodeFailure, decodePosition, decodeState, decodeStatement, encodeCommand, encodeFailure, encodePosition, encodeState
} from '../../platform/words.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import type { CallerRequest, FailureKind, StatementAnswer, UpstreamCommand } from '../../src/entry/ports/index.ts'
import { expectGolden } from './golden.ts'

const ADDRESS = '127.0.0.1'
const POSITION = { term: 3, position: 1207 }
const FAILURES: Record<string, FailureKind> = {
  BUSY: 'busy',
  ABORTED: 'aborted',
  LAGGING: 'lagging',
  READONLY: 'read-only',
  MISROUTED: 'misrouted',
  TOOMANY: 'too-many-connections',
  FAILED: 'failed',
  TIMEOUT: 'timeout',
  INDOUBT: 'in-doubt',
  NODB: 'unknown-database',
  NOAUTH: 'unknown-key',
  NOSTMT: 'unknown-statement',
  TOOBIG: 'too-large',
  MALFORMED: 'malformed'
}
const COMMANDS: UpstreamCommand[] = [
  { type: 'data', requestId: 'r1', text: 'READ x  y' },
  { type: 'data', requestId: 'r1', text: 'WRITE x \xe4', after: POSITION },
  { type: 'execute', requestId: 'r2', name: 'p1', parameters: '1 2' },
  { type: 'execute', requestId: 'r2', name: 'p1', parameters: '', after: POSITION },
  { type: 'commit', requestId: 'r3', text: 'COMMIT' },
  { type: 'begin', readOnly: false },
  { type: 'begin', readOnly: true, after: POSITION },
  { type: 'rollback' },
  { type: 'set', name: 'zone', value: 'a b' },
  { type: 'prepare', name: 'p1', prepared: { access: 'read', shape: 'READ ? ?' } },
  { type: 'prepare', name: 'p2', prepared: { access: 'write', shape: '?' } },
  { type: 'deallocate', name: 'p1' },
  { type: 'reset' }
]
const STATEMENTS = [
  'BEGIN', 'BEGIN READ', 'BEGIN WRITE', 'COMMIT', 'COMMIT x', 'ROLLBACK', 'ROLLBACK x', 'READ x  y', 'READ', 'READ ',
  'WRITE x data', 'WRITE', 'SET zone a b', 'SET zone ', 'SET zone', 'SET  x', 'SET', 'PREPARE p READ ? ?',
  'PREPARE p WRITE ?', 'PREPARE p OTHER ?', 'PREPARE p READ', 'PREPARE', 'EXEC p 1 2', 'EXEC p ', 'EXEC p', 'EXEC',
  'DEALLOC p', 'DEALLOC p q', 'DEALLOC', 'begin', '', 'OTHER x'
]

describe('protocol keyword encoding is unchanged', () => {
  it('for failures', () => {
    for (const [code, kind] of Object.entries(FAILURES)) {
      expect([encodeFailure(kind), decodeFailure(code)]).toEqual([code, kind])
    }
    expect(decodeFailure('OTHER')).toEqual('failed')
  })

  it('for states and positions', () => {
    expect([encodeState('idle'), encodeState('open'), encodeState('failed')]).toEqual(['I', 'T', 'E'])
    expect(['I', 'T', 'E', 'X', ''].map(decodeState)).toEqual(['idle', 'open', 'failed', undefined, undefined])
    expect([encodePosition(POSITION), encodePosition(undefined)]).toEqual(['3.1207', '-'])
    expect(['3.1207', '-', '3', '3.', '3.1.2', ' 3.1'].map(decodePosition))
      .toEqual([POSITION, undefined, undefined, undefined, undefined, undefined])
  })

  it('for commands to upstreams', () => {
    expectGolden('platform-commands', COMMANDS.map((command) => ({ command, line: encodeCommand(command) })))
  })

  it('for statements from callers', () => {
    expectGolden('platform-statements', STATEMENTS.map((text) => ({ text, statement: decodeStatement(text) })))
  })
})

describe('line encoding is unchanged', () => {
  const ends: Array<() => Promise<void> | void> = []
  afterEach(async () => {
    for (const end of ends.splice(0).reverse()) {
      await end()
    }
  })

  /** Finds a free port; the caller listener does not report the port it is bound to. */
  const findPort = async (): Promise<number> => {
    const server = createServer().listen(0, ADDRESS)
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    await new Promise((resolve) => server.close(resolve))
    return port
  }
  /** Sends text to a caller port and collects the response until the server closes the connection. */
  const talk = async (text: string, answers: StatementAnswer[]): Promise<{ sent: string, requests: unknown[] }> => {
    const port = await findPort()
    const requests: unknown[] = []
    const listener = await createCallerPort(silentLogger).listen({ address: ADDRESS, port }, (link) => {
      const { database, keyDigest } = link
      requests.push({ database, keyDigest })
      return {
        serve: async (request: CallerRequest) => {
          requests.push(request)
          return answers.shift()!
        },
        mayWriteOn: () => true,
        close: () => {}
      }
    })
    ends.push(async () => { await listener.close(0) })
    const socket = connect(port, ADDRESS)
    const chunks: Buffer[] = []
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    socket.write(text, 'latin1')
    await once(socket, 'end')
    socket.destroy()
    return { sent: Buffer.concat(chunks).toString('latin1'), requests }
  }

  it('to and from callers', async () => {
    const lines = ['START money key-1', 'QUERY r1 READ x', 'QUERY r2 WRITE x \xe4', 'QUERY r3 BEGIN', 'QUERY r4 OTHER', 'BYE']
    const answers: StatementAnswer[] = [
      { rows: ['a b', '', '\xe4'], signature: '7.1f3.c', state: 'idle', position: POSITION },
      { rows: ['part'], failure: { kind: 'in-doubt', message: 'no answer came' }, state: 'failed' },
      { rows: [], state: 'open' },
      { rows: [], failure: { kind: 'malformed', message: '' }, state: 'open', position: POSITION }
    ]
    expectGolden('platform-caller-lines', await talk(lines.map((line) => `${line}\r\n`).join(''), answers))
  })

  it('to callers that do not start with START', async () => {
    expect((await talk('HELLO money key\r\n', [])).sent).toEqual('ERR MALFORMED the first line must be START\r\n')
    expect((await talk('START money\r\n', [])).sent).toEqual('ERR MALFORMED the first line must be START\r\n')
    expect((await talk('x'.repeat(1_048_577), [])).sent).toEqual('ERR TOOBIG a message may have 1 MiB\r\n')
  })

  it('to and from upstreams', async () => {
    const received: string[] = []
    const answers = [
      'READY I 3.1207', 'ROW a b\r\nROW \r\nROW \xe4\r\nDONE 7.1f3.c\r\nREADY T 3.1207', 'ERR READONLY not here\r\nREADY E -',
      'DONE -\r\nREADY I -', 'ROW primary 3 3.1207 0 0 1\r\nDONE -\r\nREADY I 3.1207',
      'ROW replica 4 4.1 0 0 1\r\nDONE -\r\nREADY I 4.1'
    ]
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.setEncoding('latin1').on('data', (data) => {
        received.push(String(data))
        socket.write(`${answers.shift()}\r\n`, 'latin1')
      })
    }).listen(0, ADDRESS)
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const target = { group: 'g', upstream: 'g-a', endpoint: { address: ADDRESS, port } }
    const connection = await createUpstreamPort(createDialer()).open(target, { organisation: '', timeoutMs: 5000 })
    ends.push(() => { server.close() }, () => connection.close())
    const results = [
      await connection.run({ type: 'data', requestId: 'r1', text: 'READ \xe4', after: POSITION }),
      await connection.run({ type: 'data', requestId: 'r2', text: 'WRITE x' }),
      await connection.run({ type: 'rollback' }),
      await connection.status(),
      await connection.demote(4)
    ]
    answers.push('READY I -')
    const other = await createUpstreamPort(createDialer()).open(target, { organisation: 'red', timeoutMs: 5000 })
    ends.push(() => other.close())
    expectGolden('platform-upstream-lines', { received, results })
  })
})
