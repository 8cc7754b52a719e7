/** TCP listener that tracks its open connections. */
import { createServer, type Server, type ServerOpts, type Socket } from 'node:net'
import type { Endpoint } from './dialer.ts'

/**
 * Options of accepted sockets. Keep-alive probes drop connections whose other end is gone; a connection may be idle for
 * any time.
 */
const SOCKET_OPTIONS: ServerOpts = { noDelay: true, keepAlive: true, keepAliveInitialDelay: 30_000 }

/** A listening server. */
export interface SocketListener {
  /** Port the server is bound to. */
  port: number
  /** Number of open connections. */
  readonly connections: number
  /** Stops accepting connections; open ones stay. */
  stopAccepting: () => void
  /**
   * Stops listening, and ends all sockets once what was sent is written.
   *
   * @param flushMs - time after which sockets are destroyed nevertheless, in milliseconds; at once by default
   */
  close: (flushMs?: number) => Promise<void>
}

/**
 * Binds a server and keeps an error listener: a later error concerns a connection that could not be accepted, for want
 * of descriptors for example, and must not end the process.
 *
 * @param server - the server
 * @param endpoint - address and port to listen on; port 0 selects a free port
 * @throws the error of the operating system when the port cannot be bound
 */
export async function listenOn (server: Server, { address, port }: Endpoint): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject)
    server.listen(port, address, resolve)
  })
}

/**
 * Starts listening for TCP connections.
 *
 * @param endpoint - address and port to listen on; port 0 selects a free port
 * @param serve - handles an accepted connection
 * @returns the listening server
 * @throws the error of the operating system when the port cannot be bound
 */
export async function listenForSockets (
  { address, port }: Endpoint, serve: (socket: Socket) => void
): Promise<SocketListener> {
  const sockets = new Set<Socket>()
  const server = createServer(SOCKET_OPTIONS, (socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    serve(socket)
  })
  await listenOn(server, { address, port })
  const bound = server.address()
  return {
    port: typeof bound === 'object' && bound !== null ? bound.port : port,
    get connections () { return sockets.size },
    stopAccepting: () => { server.close() },
    close: async (flushMs = 0) => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      const destroyAll = (): void => sockets.forEach((socket) => socket.destroy())
      if (flushMs === 0) {
        destroyAll()
      }
      sockets.forEach((socket) => socket.end())
      const timer = setTimeout(destroyAll, flushMs)
      await closed
      clearTimeout(timer)
    }
  }
}
