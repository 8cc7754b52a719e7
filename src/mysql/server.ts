/** MySQL protocol server: accepts clients and passes their commands to a handler, one at a time per client. */
import type { Socket } from 'node:net'
import mysql, { type ConnectionOptions } from 'mysql2'
import { listenForSockets, type SocketListener } from '../core/wire/listener.ts'
import type { ServeOptions } from './client-handler.ts'
import { serveClient } from './serve-client.ts'
import type { ServerConnection } from './server-connection.ts'

/** Options of {@link listenMysql}. */
interface MysqlServerOptions extends ServeOptions {
  address: string
  port: number
}

/** Starts a MySQL server. */
export async function listenMysql (options: MysqlServerOptions): Promise<SocketListener> {
  let nextConnectionId = 1
  return await listenForSockets(options, (socket) => serveClient(acceptClient(socket), nextConnectionId++, options))
}

/** Creates the server side of a connection, without the large prepared statement cache that mysql2 allocates. */
function acceptClient (socket: Socket): ServerConnection {
  const config = { stream: socket, isServer: true, maxPreparedStatements: 1 }
  return mysql.createConnection(config as unknown as ConnectionOptions) as unknown as ServerConnection
}
