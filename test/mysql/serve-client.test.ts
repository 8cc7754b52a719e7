import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import mysql from 'mysql2/promise'
import { RequestError } from '../../src/core/errors/index.ts'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import type { AuthenticatedClient } from '../../src/mysql/client-handler.ts'
import { doubleSha1 } from '../../src/mysql/password.ts'
import { listenMysql } from '../../src/mysql/server.ts'
import { EMPTY_ANSWER } from '../../src/mysql/types.ts'

const ADDRESS = '127.0.0.1'
const PASSWORD = 'a-password'

describe('a client whose connection is ended at once', () => {
  let server: SocketListener
  afterEach(async () => await server.close())

  it('gets an error that tells whether the command in progress may have run', async () => {
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
