/** Opens a link to a peer: connects and authenticates both sides. */
import type { Socket } from 'node:net'
import { RequestError, type Verdict } from '../core/errors/index.ts'
import { attachFrames, type FrameStream } from '../core/wire/frames.ts'
import { createNonce, proveKey, sameProof } from './authentication.ts'
import { PeerRefusedConnection } from './refusal.ts'
import { challengeSchema, replyFrame, welcomeSchema, type ReplyFrame } from './types.ts'

/** Options of {@link openLink}. */
interface LinkOptions {
  /** Name of this host. */
  host: string
  key: string
  /** Address of the peer, for error messages. */
  peer: string
  /** Timeout to connect and authenticate, in milliseconds. */
  connectTimeoutMs: number
  /** Called with each reply. */
  onReply: (link: OpenLink, reply: ReplyFrame) => void
}

/** A request that waits for its reply. */
interface PendingRequest {
  resolve: (body: unknown) => void
  reject: (error: Error) => void
  cancelTimer: () => void
}

/** Next frame expected by the handshake; `open` after its completion. */
type HandshakeStage = 'challenge' | 'welcome' | 'open'

/** An authenticated link. */
export interface OpenLink {
  socket: Socket
  frames: FrameStream
  pending: Map<number, PendingRequest>
  /** Time of the last bytes from the peer, on the monotonic clock, in milliseconds. */
  lastReceivedAt: number
}

/**
 * Authenticates a link on a socket that is connecting.
 *
 * @param socket - the socket
 * @param options - both sides, the key and the timeout
 * @returns the authenticated link
 * @throws RequestError `PeerUnavailable` with verdict `not-run`
 */
export async function openLink (
  socket: Socket, { host, key, peer, connectTimeoutMs, onReply }: LinkOptions
): Promise<OpenLink> {
  return await new Promise((resolve, reject) => {
    const nonce = createNonce()
    const pending = new Map<number, PendingRequest>()
    let stage: HandshakeStage = 'challenge'
    const fail = (reason: string, error = peerUnavailableError(peer, reason, 'not-run')): void => {
      clearTimeout(timer)
      socket.destroy()
      pending.forEach((request) => {
        request.cancelTimer()
        request.reject(peerUnavailableError(peer, reason, 'may-have-run'))
      })
      pending.clear()
      reject(error)
    }
    const timer = setTimeout(() => fail('no answer to the connection attempt'), connectTimeoutMs)
    socket.on('error', (error) => fail(error.message, connectionError(peer, error)))
    socket.once('close', () => fail('the link was closed'))

    const frameHandlers: Record<HandshakeStage, (value: unknown) => void> = {
      challenge: (value) => {
        const challenge = challengeSchema.parse(value)
        frames.send({ type: 'hello', host, proof: proveKey(key, 'client', challenge.nonce, host), nonce })
        stage = 'welcome'
      },
      welcome: (value) => {
        const welcome = welcomeSchema.parse(value)
        if (!sameProof(proveKey(key, 'server', nonce, welcome.host), welcome.proof)) {
          fail('it does not know the key')
          return
        }
        clearTimeout(timer)
        frames.trust()
        stage = 'open'
        resolve(link)
      },
      open: (value) => onReply(link, replyFrame.read(value))
    }
    const frames = attachFrames(socket, (value) => frameHandlers[stage](value))
    // Counts parts of frames as well: a link that carries a large frame is not silent.
    socket.on('data', () => { link.lastReceivedAt = performance.now() })
    const link: OpenLink = { socket, frames, pending, lastReceivedAt: performance.now() }
  })
}

function connectionError (peer: string, { code, message }: NodeJS.ErrnoException): RequestError<'PeerUnavailable'> {
  return code === 'ECONNREFUSED' ? new PeerRefusedConnection(peer, message) : peerUnavailableError(peer, message, 'not-run')
}

/**
 * Builds the error for a peer that did not serve a request.
 *
 * @param peer - address of the peer
 * @param reason - cause, shown in the message
 * @param verdict - whether the request may have run
 * @returns the error
 */
export function peerUnavailableError (peer: string, reason: string, verdict: Verdict): RequestError<'PeerUnavailable'> {
  return new RequestError(verdict, 'PeerUnavailable', { peer, reason })
}
