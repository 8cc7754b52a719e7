/** Client side of peer links: one link to each peer, with concurrent requests. */
import { RequestError, type ErrorDetails, type ErrorName } from '../core/errors/index.ts'
import { startInputTimer } from '../core/time/arrived-input.ts'
import { TIMED_OUT, withTimeout } from '../core/time/deadline.ts'
import { formatEndpoint, type Dialer, type Endpoint } from '../core/wire/dialer.ts'
import { peerUnavailableError, type OpenLink } from './open-link.ts'
import { createPeerLinks, type LinkEntry, type PeerLinks } from './peer-links.ts'
import { PeerLinkPending } from './refusal.ts'
import type { ReplyFrame } from './types.ts'

/** Options of {@link createPeerClient}. */
interface PeerClientOptions {
  host: string
  key: string
  dialer: Dialer
  /** Timeout to connect and authenticate, in milliseconds. */
  connectTimeoutMs?: number
  /**
   * Returns the maximum time that a request waits for its link, in milliseconds; the connect timeout by default. The
   * link continues to open for later requests, since an aborted attempt costs a busy peer as much as a successful one.
   */
  linkWaitMs?: () => number
  /**
   * Whether requests without an answer replace the links that are silent (`peer-links.ts`). Otherwise the owner of the
   * client detects silent links itself.
   */
  replaceSilentLinks?: boolean
}

/** Sends requests to peers. */
export interface PeerClient {
  /**
   * Sends a request and waits for its reply.
   *
   * @param endpoint - the peer
   * @param type - type of the request
   * @param body - body of the request
   * @param timeoutMs - timeout, in milliseconds; a later reply is dropped
   * @returns the body of the reply
   * @throws RequestError with verdict `not-run` when it was not sent, `may-have-run` when no reply arrived
   */
  request: (endpoint: Endpoint, type: string, body: unknown, timeoutMs: number) => Promise<unknown>
  /** Closes the links to a peer; see {@link PeerLinks.disconnect}. */
  disconnect: PeerLinks['disconnect']
  /** Number of replies that arrived after their request had timed out. */
  readonly lateAnswers: number
  /** Number of links that are open or being opened. */
  readonly links: number
  close: () => void
}

/** Default timeout to connect and authenticate, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500
/**
 * Minimum time without an answer from which a link counts as silent, in milliseconds. A busy peer may need longer than
 * the shortest timeouts of requests.
 */
const SILENT_AFTER_MS = 250

/**
 * Creates a client.
 *
 * @param options - identity, key and dialer
 * @returns the client; links are opened on demand
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const { host, key, dialer, connectTimeoutMs = CONNECT_TIMEOUT_MS, replaceSilentLinks = true } = options
  const { linkWaitMs = () => connectTimeoutMs } = options
  let nextId = 1
  let lateAnswers = 0
  const links = createPeerLinks({
    host, key, dialer, connectTimeoutMs, onReply: (link, reply) => { lateAnswers += settleRequest(link, reply) ? 0 : 1 }
  })

  const waitForLink = async ({ opening }: LinkEntry, name: string): Promise<OpenLink> => {
    const link = await withTimeout(opening, linkWaitMs())
    if (link === TIMED_OUT) {
      throw new PeerLinkPending(name)
    }
    return link
  }
  const reportNoAnswer = (sentAt: number): void => {
    if (replaceSilentLinks && performance.now() - sentAt >= SILENT_AFTER_MS) {
      links.replaceQuiet(sentAt)
    }
  }

  return {
    get lateAnswers () { return lateAnswers },
    get links () { return links.size },
    request: async (endpoint, type, body, timeoutMs) => {
      const name = formatEndpoint(endpoint)
      const known = links.get(endpoint)
      const link = known.opened ?? await waitForLink(known, name)
      return await new Promise((resolve, reject) => {
        const id = nextId++
        const sentAt = performance.now()
        const cancelTimer = startInputTimer(() => {
          link.pending.delete(id)
          if (link.lastReceivedAt <= sentAt) {
            reportNoAnswer(sentAt)
          }
          reject(peerUnavailableError(name, 'no answer in time', 'may-have-run'))
        }, timeoutMs)
        link.pending.set(id, { resolve, reject, cancelTimer })
        link.frames.send({ id, type, body })
      })
    },
    disconnect: links.disconnect,
    close: links.close
  }
}

/** Settles the request of a reply; returns false if the request has timed out. */
function settleRequest (link: OpenLink, { id, body, failure }: ReplyFrame): boolean {
  const pending = link.pending.get(id)
  if (pending === undefined) {
    return false
  }
  link.pending.delete(id)
  pending.cancelTimer()
  if (failure === undefined) {
    pending.resolve(body)
    return true
  }
  pending.reject(replyError(link, failure))
  return true
}

/** Builds the error of a reply. One that only processes of another version know keeps its verdict. */
function replyError (
  { socket }: OpenLink, { verdict, entry, details }: NonNullable<ReplyFrame['failure']>
): RequestError {
  try {
    return new RequestError(verdict, entry as ErrorName, details as ErrorDetails<ErrorName>)
  } catch {
    return peerUnavailableError(`${socket.remoteAddress}:${socket.remotePort}`, `unknown error '${entry}'`, verdict)
  }
}
