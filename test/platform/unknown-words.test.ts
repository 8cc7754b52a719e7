import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createAnswerReader } from '../../platform/answer-reader.ts'
import { createUpstreamPort } from '../../platform/upstream-port.ts'
import { createMemoryBudget } from '../../src/core/memory/memory-budget.ts'
import { decodeState, decodeStatement } from '../../platform/words.ts'
import type { UpstreamConnection } from '../../src/entry/ports/index.ts'

/** Names that every object inherits; none of them is a word of the protocol. */
const INHERITED_NAMES = [...Object.getOwnPropertyNames(Object.prototype), 'prototype']
const ADDRESS = '127.0.0.1'
const TARGET = { group: 'lepu270', upstream: 'i-7f3a91c2' }

// Guards against look-ups of words from the wire that find an inherited property: one such statement ended a process.
describe('a word of the wire that names an inherited property', () => {
  const closers: Array<() => void> = []
  afterEach(() => closers.splice(0).forEach((close) => close()))

  /** Opens a connection to an upstream that answers each statement with one line. */
  const openTo = async (answer: string): Promise<UpstreamConnection> => {
    const sockets: Socket[] = []
    const server: Server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', (data) => socket.write(String(data).startsWith('START') ? 'READY I -\r\n' : `${answer}\r\n`))
    }).listen(0, ADDRESS)
    await once(server, 'listening')
    const endpoint = { address: ADDRESS, port: (server.address() as AddressInfo).port }
    const connection = await createUpstreamPort(({ address, port }) => connect(port, address))
      .open({ ...TARGET, endpoint }, { organisation: '', timeoutMs: 1000 })
    closers.push(() => {
      connection.close()
      sockets.forEach((socket) => socket.destroy())
      server.close()
    })
    return connection
  }

  for (const name of INHERITED_NAMES) {
    it(`is malformed as a statement: ${name}`, () => {
      expect(decodeStatement(`${name} 1a4`).type).toEqual('malformed')
      expect(decodeStatement(name).type).toEqual('malformed')
    })

    it(`is unreadable as a line or a state of an upstream's answer: ${name}`, () => {
      expect(createAnswerReader(createMemoryBudget()).readLine(`${name} 1`).type).toEqual('unreadable')
      expect(createAnswerReader(createMemoryBudget()).readLine(`READY ${name} -`).type).toEqual('unreadable')
      expect(decodeState(name)).toEqual(undefined)
    })
  }

  it('ends the connection to the upstream that sent it', async () => {
    const connection = await openTo('__proto__ 1')
    await expect(connection.run({ type: 'data', requestId: 'r1', text: 'READ 1a4' })).toBeRejected()
    expect(connection.closed).toEqual(true)
  })
})
