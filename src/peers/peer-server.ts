/** Server side of peer links. */
import type { Socket } from 'node:net'
import { toRequestError } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { attachFrames, type FrameStream } from '../core/wire/frames.ts'
import { listenForSockets, type SocketListener } from '../core/wire/listener.ts'
import { createNonce, proveKey, sameProof } from './authentication.ts'
import { helloSchema, requestFrame, type PeerHandler, type PeerLink, type ReplyFrame } from './types.ts'

/** Options of {@link listenForPeers}. */
interface PeerServerOptions {
  host: string
  address: string
  port: number
  key: string
  logger: Logger
  /** Handlers by request type. */
  handlers: Map<string, PeerHandler>
}

/** A listening peer server. */
interface PeerServer {
  port: number
  /** Number of requests in progress. */
  readonly inProgress: number
  readonly links: number
  /** Stops listening and ends all links; takes no more requests. See {@link SocketListener.close}. */
  close: SocketListener['close']
}

/** The outcome of a request, without its id. */
type Reply = Omit<ReplyFrame, 'id'>

/** Timeout of the handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 2000

/**
 * Starts listening for peers.
 *
 * @param options - address, key and handlers
 * @returns the server
 */
export async function listenForPeers (options: PeerServerOptions): Promise<PeerServer> {
  const progress = { count: 0 }
  const listener = await listenForSockets(options, (socket) => serveLink(socket, options, progress))
  return {
    port: listener.port,
    get inProgress () { return progress.count },
    get links () { return listener.connections },
    close: listener.close
  }
}

function serveLink (socket: Socket, options: PeerServerOptions, progress: { count: number }): void {
  const { logger, key, host } = options
  const nonce = createNonce()
  let peerHost: string | undefined
  const link: PeerLink = {
    get host () { return peerHost ?? '' },
    onClose: (listener) => { socket.once('close', listener) }
  }
  const timer = setTimeout(() => socket.destroy(new Error('handshake timed out')), HANDSHAKE_TIMEOUT_MS)
  socket.once('close', () => clearTimeout(timer))
  socket.on('error', (error) => logger.log('warn', 'peer.link-error', {
    peer: peerHost ?? socket.remoteAddress, reason: error.message
  }))

  const handleHello = (value: unknown): void => {
    const hello = helloSchema.parse(value)
    if (!sameProof(proveKey(key, 'client', nonce, hello.host), hello.proof)) {
      logger.log('warn', 'peer.refused', { peer: hello.host, reason: 'wrong key' })
      socket.destroy()
      return
    }
    clearTimeout(timer)
    peerHost = hello.host
    frames.trust()
    frames.send({ type: 'welcome', host, proof: proveKey(key, 'server', hello.nonce, host) })
  }

  const sendReply = (id: number, reply: Reply): void => {
    try {
      frames.send({ ...reply, id })
    } catch (thrown) {
      frames.send({ ...failureReply(thrown), id })
    }
  }

  const frames: FrameStream = attachFrames(socket, (value) => {
    if (!socket.writable) {
      return
    }
    if (peerHost === undefined) {
      handleHello(value)
      return
    }
    const { id, type, body } = requestFrame.read(value)
    progress.count++
    void handleRequest(options, type, body, link)
      .then((reply) => sendReply(id, reply))
      .finally(() => { progress.count-- })
  })
  frames.send({ type: 'challenge', nonce })
}

async function handleRequest (
  { handlers }: PeerServerOptions, type: string, body: unknown, link: Parameters<PeerHandler>[1]
): Promise<Reply> {
  try {
    const handle = handlers.get(type)
    if (handle === undefined) {
      throw new Error(`no handler for ${type}`)
    }
    return { body: await handle(body, link) }
  } catch (thrown) {
    return failureReply(thrown)
  }
}

function failureReply (thrown: unknown): Reply {
  const { verdict, entry, details } = toRequestError(thrown, 'may-have-run')
  return { failure: { verdict, entry, details } }
}
