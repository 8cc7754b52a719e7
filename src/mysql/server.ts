/** A server of the MySQL protocol: accepts clients and hands their commands to a handler, one at a time. */
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

/**
 * Starts a server.
 *
 * @param options - address, credentials and handler
 * @returns the listening server
 */
export async function listenMysql (options: MysqlServerOptions): Promise<SocketListener> {
  let nextConnectionId = 1
  return await listenForSockets(options, (socket) => serveClient(acceptClient(socket), nextConnectionId++, options))
}

/**
 * Puts the server side of the protocol on a socket. mysql2's own server gives each connection room for 16,000 prepared
 * statements of the client side, half a megabyte that is never used here.
 */
function acceptClient (socket: Socket): ServerConnection {
  const config = { stream: socket, isServer: true, maxPreparedStatements: 1 }
  return mysql.createConnection(config as unknown as ConnectionOptions) as unknown as ServerConnection
}
