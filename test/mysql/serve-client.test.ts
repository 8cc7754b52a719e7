import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import mysql from 'mysql2/promise'
import { RequestError } from '../../src/core/errors/index.ts'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import type { AuthenticatedClient } from '../../src/mysql/client-handler.ts'
import { textColumn } from '../../src/mysql/answer-writer.ts'
import { doubleSha1 } from '../../src/mysql/password.ts'
import { listenMysql } from '../../src/mysql/server.ts'
import { EMPTY_ANSWER, type RowsAnswer } from '../../src/mysql/types.ts'

const LARGE_ROWS = 300
const LARGE: RowsAnswer = {
  type: 'rows',
  columns: [textColumn('c')],
  rows: Array.from({ length: LARGE_ROWS }, () => [Buffer.alloc(100_000, 'x')])
}

const ADDRESS = '127.0.0.1'
const PASSWORD = 'a-password'

describe('a client whose connection is ended', () => {
  let server: SocketListener
  afterEach(async () => await server.close())

  // Guards against the end of a connection whose command has arrived, and has not been read.
  it('gets the answer to a command that has arrived before', async () => {
    let client: AuthenticatedClient | undefined
    server = await listenMysql({
      address: ADDRESS,
      port: 0,
      statementBytes: 1000,
      findPasswordHash: () => doubleSha1(PASSWORD),
      serve: (authenticated) => {
        client = authenticated
        return {
          execute: async () => EMPTY_ANSWER, selectDatabase: async () => {}, reset: async () => {}, close: () => {}
        }
      },
      toRefusal: () => ({ code: 1053, message: 'refused' })
    })
    const connection = await mysql.createConnection({ host: ADDRESS, port: server.port, user: 'u', password: PASSWORD })
    await connection.query('first')
    await new Promise((resolve) => { setImmediate(resolve) })
    const outcome = connection.query('second').then(() => 'done', (error: Error) => error.message)
    // The command is written before the event loop turns.
    await new Promise<void>((resolve) => { process.nextTick(resolve) })
    client!.end()
    expect(await outcome).toEqual('done')
    connection.destroy()
  })

  it('at once gets an error that tells whether the command in progress may have run', async () => {
    const executed: string[] = []
    let client: AuthenticatedClient | undefined
    server = await listenMysql({
      address: ADDRESS,
      port: 0,
      statementBytes: 1000,
      findPasswordHash: () => doubleSha1(PASSWORD),
      serve: (authenticated) => {
        client = authenticated
        return {
          execute: async ({ sql }) => {
            executed.push(sql)
            return sql === 'fast' ? EMPTY_ANSWER : await new Promise(() => {})
          },
          selectDatabase: async () => {},
          reset: async () => {},
          close: () => {}
        }
      },
      toRefusal: (thrown) => ({ code: 1053, message: (thrown as RequestError).verdict })
    })
    const connection = await mysql.createConnection({ host: ADDRESS, port: server.port, user: 'u', password: PASSWORD })
    await connection.query('fast')
    const outcome = connection.query('slow').then(() => 'done', (error: Error) => error.message)
    while (executed.length < 2) {
      await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    client!.endNow((verdict) => new RequestError(verdict, 'Stopping', { host: 'h' }))
    expect(await outcome).toEqual('may-have-run')
    connection.destroy()
  })
})

describe('a large result set of a server that stops', () => {
  let server: SocketListener
  afterEach(async () => await server.close())

  // Guards against result sets that are cut off because only all of their rows can end them.
  it('ends with an error that tells the verdict, and later commands are answered', async () => {
    let isStopping = false
    server = await listenMysql({
      address: ADDRESS,
      port: 0,
      statementBytes: 1000,
      findPasswordHash: () => doubleSha1(PASSWORD),
      serve: () => ({
        execute: async ({ sql }) => sql === 'large' ? LARGE : EMPTY_ANSWER,
        selectDatabase: async () => {},
        reset: async () => {},
        close: () => {}
      }),
      stopping: {
        remainingMs: () => isStopping ? 0 : Infinity,
        errorOf: (verdict) => new RequestError(verdict, 'Stopping', { host: 'h' })
      },
      toRefusal: (thrown) => ({ code: 1053, message: (thrown as RequestError).verdict })
    })
    const connection = await mysql.createConnection({ host: ADDRESS, port: server.port, user: 'u', password: PASSWORD })
    const [rows] = await connection.query<mysql.RowDataPacket[]>('large')
    expect(rows.length).toEqual(LARGE_ROWS)
    const { connection: { stream } } = connection as unknown as { connection: { stream: Socket } }
    const outcome = connection.query('large').then(() => 'done', (error: Error) => error.message)
    stream.pause()
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    isStopping = true
    stream.resume()
    expect(await outcome).toEqual('ran')
    const [fast] = await connection.query<mysql.ResultSetHeader>('fast')
    expect(fast.affectedRows).toEqual(0)
    connection.destroy()
  })
})
