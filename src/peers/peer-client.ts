/** Client side of peer links: one link to each peer, with concurrent requests. */
import type { Socket } from 'node:net'
import { RequestError, type ErrorDetails, type ErrorName } from '../core/errors/index.ts'
import { TIMED_OUT, withTimeout } from '../core/time/deadline.ts'
import { formatEndpoint, type Dialer, type Endpoint } from '../core/wire/dialer.ts'
import { openLink, peerUnavailableError, type OpenLink } from './open-link.ts'
import type { ReplyFrame } from './types.ts'

/** Options of {@link createPeerClient}. */
interface PeerClientOptions {
  host: string
  key: string
  dialer: Dialer
  /** Timeout to connect and authenticate, in milliseconds. */
  connectTimeoutMs?: number
  /**
   * Maximum time a request waits for its link, in milliseconds. The link continues to open for later requests, since
   * an aborted attempt costs a busy peer as much as a successful one.
   */
  linkWaitMs?: number
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
  /**
   * Closes the link to a peer; its pending requests fail immediately.
   *
   * @param endpoint - the peer
   */
  disconnect: (endpoint: Endpoint) => void
  /** Number of replies that arrived after their request had timed out. */
  readonly lateAnswers: number
  /** Number of links that are open or being opened. */
  readonly links: number
  close: () => void
}

/** Default timeout to connect and authenticate, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500

/**
 * Maximum number of links; beyond it the least recently used ones are closed when idle. It exceeds the number of homes
 * that a host forwards statements to: an idle link costs 13 KB at each end, opening one costs 1.3 ms of processor time.
 */
const MAXIMUM_LINKS = 160

/** A link that is open or being opened. */
interface LinkEntry {
  opening: Promise<OpenLink>
  /** Set once the link is open. */
  opened?: OpenLink
}

/**
 * Creates a client.
 *
 * @param options - identity, key and dialer
 * @returns the client; links are opened on demand
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const { connectTimeoutMs = CONNECT_TIMEOUT_MS, linkWaitMs = connectTimeoutMs } = options
  const links = new Map<string, LinkEntry>()
  const sockets = new Set<Socket>()
  let nextId = 1
  let lateAnswers = 0

  const open = async (endpoint: Endpoint, name: string): Promise<OpenLink> => {
    const socket = options.dialer(endpoint)
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    return await openLink(socket, {
      host: options.host,
      key: options.key,
      peer: name,
      connectTimeoutMs,
      onReply: (link, reply) => { lateAnswers += settleRequest(link, reply) ? 0 : 1 }
    })
  }

  const getOrOpenLink = (endpoint: Endpoint, name: string): LinkEntry => {
    const existingEntry = links.get(name)
    if (existingEntry !== undefined) {
      links.delete(name)
      links.set(name, existingEntry)
      return existingEntry
    }
    const link: LinkEntry = { opening: open(endpoint, name) }
    links.set(name, link)
    const removeEntry = (): void => {
      if (links.get(name) === link) {
        links.delete(name)
      }
    }
    link.opening.then((opened) => {
      link.opened = opened
      opened.socket.once('close', removeEntry)
    }, removeEntry)
    void closeIdleLinks(links)
    return link
  }

  const waitForLink = async ({ opening }: LinkEntry, name: string): Promise<OpenLink> => {
    const link = await withTimeout(opening, linkWaitMs)
    if (link === TIMED_OUT) {
      throw peerUnavailableError(name, 'no answer to the connection attempt', 'not-run')
    }
    return link
  }

  return {
    get lateAnswers () { return lateAnswers },
    get links () { return links.size },
    request: async (endpoint, type, body, timeoutMs) => {
      const name = formatEndpoint(endpoint)
      const known = getOrOpenLink(endpoint, name)
      const link = known.opened ?? await waitForLink(known, name)
      return await new Promise((resolve, reject) => {
        const id = nextId++
        const timer = setTimeout(() => {
          link.pending.delete(id)
          reject(peerUnavailableError(name, 'no answer in time', 'may-have-run'))
        }, timeoutMs)
        link.pending.set(id, { resolve, reject, timer })
        link.frames.send({ id, type, body })
      })
    },
    disconnect: (endpoint) => {
      links.get(formatEndpoint(endpoint))?.opening.then(({ socket }) => socket.destroy(), ignoreFailedLink)
    },
    close: () => sockets.forEach((socket) => socket.destroy())
  }
}

async function closeIdleLinks (links: Map<string, LinkEntry>): Promise<void> {
  for (const { opening } of [...links.values()].slice(0, Math.max(0, links.size - MAXIMUM_LINKS))) {
    // A link that failed to open has no connection to close, and its requests have already failed.
    const link = await opening.catch(() => undefined)
    if (link?.pending.size === 0) {
      link.socket.destroy()
    }
  }
}

/** Ignores the error of a link that failed to open: its requests have already failed. */
function ignoreFailedLink (): void {}

/** Settles the request of a reply; returns false if the request has timed out. */
function settleRequest (link: OpenLink, { id, body, failure }: ReplyFrame): boolean {
  const pending = link.pending.get(id)
  if (pending === undefined) {
    return false
  }
  link.pending.delete(id)
  clearTimeout(pending.timer)
  if (failure === undefined) {
    pending.resolve(body)
    return true
  }
  const { verdict, entry, details } = failure
  pending.reject(new RequestError(verdict, entry as ErrorName, details as ErrorDetails<ErrorName>))
  return true
}
