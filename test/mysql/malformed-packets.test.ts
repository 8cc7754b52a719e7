import { once } from 'node:events'
import { connect } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import mysql from 'mysql2/promise'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import { textColumn } from '../../src/mysql/answer-writer.ts'
import { doubleSha1 } from '../../src/mysql/password.ts'
import { listenMysql } from '../../src/mysql/server.ts'
import { EMPTY_ANSWER, type Answer } from '../../src/mysql/types.ts'

const ADDRESS = '127.0.0.1'
const PASSWORD = 'a-password'
const HEADER_BYTES = 4
const PACKETS = 60
const SEED = 58
/** An answer whose rows cannot be encoded. */
const UNREADABLE = { type: 'rows', columns: [textColumn('c')], rows: [[{ length: 5 }]] } as unknown as Answer

function packetOf (body: Buffer, sequence: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUIntLE(body.length, 0, 3)
  header.writeUInt8(sequence, 3)
  return Buffer.concat([header, body])
}

/** Answers the greeting of the server with a packet, and waits until the connection ends. */
async function answerGreeting (port: number, body: Buffer): Promise<void> {
  const socket = connect(port, ADDRESS)
  socket.on('error', () => {})
  socket.once('data', () => socket.end(packetOf(body, 1)))
  socket.resume()
  await once(socket, 'close')
}

// Guards against packets and answers whose error reached the process: it ended with all its connections.
describe('a MySQL server', () => {
  let server: SocketListener
  afterEach(async () => await server.close())
  const listen = async (answerTo: (sql: string) => Answer = () => EMPTY_ANSWER): Promise<void> => {
    server = await listenMysql({
      address: ADDRESS,
      port: 0,
      statementBytes: 1000,
      findPasswordHash: (user) => user === 'u' ? doubleSha1(PASSWORD) : undefined,
      serve: () => ({
        execute: async ({ sql }) => answerTo(sql),
        selectDatabase: async () => {},
        reset: async () => {},
        close: () => {}
      }),
      toRefusal: () => ({ code: 1105, message: 'refused' })
    })
  }
  const expectServing = async (): Promise<void> => {
    const connection = await mysql.createConnection({ host: ADDRESS, port: server.port, user: 'u', password: PASSWORD })
    await connection.query('good')
    connection.destroy()
  }

  it('goes on serving after malformed answers to its greeting', async () => {
    await listen()
    const generator = xoroshiro128plus(SEED)
    const random = (): number => (generator.next() >>> 0) / 2 ** 32
    // A user that exists, without a password.
    const bare = Buffer.concat([Buffer.alloc(32), Buffer.from('u\0')])
    const bodies = Array.from({ length: PACKETS }, () => {
      const bytes = Buffer.from(Array.from({ length: Math.floor(random() * 80) }, () => Math.floor(random() * 256)))
      return random() < 0.5 ? bytes : Buffer.concat([Buffer.alloc(32), bytes, bare])
    })
    await Promise.all([Buffer.alloc(0), bare, ...bodies].map(async (body) => await answerGreeting(server.port, body)))
    await expectServing()
  })

  it('goes on serving other clients after an answer that cannot be written', async () => {
    await listen((sql) => sql === 'bad' ? UNREADABLE : EMPTY_ANSWER)
    const connection = await mysql.createConnection({ host: ADDRESS, port: server.port, user: 'u', password: PASSWORD })
    connection.on('error', () => {})
    await expect(connection.query('bad')).toBeRejected()
    connection.destroy()
    await expectServing()
  })
})
