/**
 * The links of a client: one for new requests to each peer. An open connection may go silent for good while new ones
 * work, often together with others, and only a missing answer shows it. So a request without an answer replaces every
 * link that has received nothing since it was sent: new requests open another one, and those that wait on the old link
 * keep their timeouts.
 */
import type { Socket } from 'node:net'
import { formatEndpoint, type Dialer, type Endpoint } from '../core/wire/dialer.ts'
import { openLink, type OpenLink } from './open-link.ts'
import type { ReplyFrame } from './types.ts'

/**
 * Maximum number of links; beyond it the least recently used ones are closed when idle. It exceeds the number of homes
 * that a host forwards statements to: an idle link costs 13 KB at each end, opening one costs 1.3 ms of processor time.
 */
const MAXIMUM_LINKS = 160
/**
 * Time after which a replaced link is closed, in milliseconds. It exceeds the time limits of requests and transactions:
 * a peer that was only slow rolls back the open transactions of a link that closes.
 */
const REPLACED_LINK_TTL_MS = 60_000

/** A link that is open or being opened. */
export interface LinkEntry {
  opening: Promise<OpenLink>
  /** Set once the link is open. */
  opened?: OpenLink
}

/** Options of {@link createPeerLinks}. */
interface PeerLinksOptions {
  host: string
  key: string
  dialer: Dialer
  /** Timeout to connect and authenticate, in milliseconds. */
  connectTimeoutMs: number
  onReply: (link: OpenLink, reply: ReplyFrame) => void
}

/** Links by peer. */
export interface PeerLinks {
  /** Number of links that are open or being opened, without replaced ones. */
  readonly size: number
  /** Returns the link for a new request to a peer; opens one if there is none. */
  get: (endpoint: Endpoint) => LinkEntry
  /**
   * Replaces the links that have received nothing since a time.
   *
   * @param since - time on the monotonic clock, in milliseconds
   */
  replaceQuiet: (since: number) => void
  /**
   * Closes the links to a peer; their pending requests fail.
   *
   * @param endpoint - the peer
   * @param quietSince - closes only links that have received nothing since this time on the monotonic clock
   */
  disconnect: (endpoint: Endpoint, quietSince?: number) => void
  /** Closes all links. */
  close: () => void
}

/**
 * Creates the links.
 *
 * @param options - identity, key and dialer
 * @returns the links; each is opened on demand
 */
export function createPeerLinks (options: PeerLinksOptions): PeerLinks {
  const { host, key, dialer, connectTimeoutMs, onReply } = options
  const links = new Map<string, LinkEntry>()
  /** Links that new requests no longer use, with the timer that closes them, by peer. */
  const replaced = new Map<OpenLink, { name: string, timer: NodeJS.Timeout }>()
  const sockets = new Set<Socket>()

  const open = async (endpoint: Endpoint, name: string): Promise<OpenLink> => {
    const socket = dialer(endpoint)
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    return await openLink(socket, { host, key, peer: name, connectTimeoutMs, onReply })
  }
  const removeEntry = (name: string, entry: LinkEntry): void => {
    if (links.get(name) === entry) {
      links.delete(name)
    }
  }
  const replace = (name: string, link: OpenLink): void => {
    const timer = setTimeout(() => link.socket.destroy(), REPLACED_LINK_TTL_MS).unref()
    replaced.set(link, { name, timer })
    links.delete(name)
  }
  const forget = (link: OpenLink): void => {
    clearTimeout(replaced.get(link)?.timer)
    replaced.delete(link)
  }
  const add = (endpoint: Endpoint, name: string): LinkEntry => {
    const entry: LinkEntry = { opening: open(endpoint, name) }
    links.set(name, entry)
    entry.opening.then((link) => {
      entry.opened = link
      link.socket.once('close', () => {
        removeEntry(name, entry)
        forget(link)
      })
    }, () => removeEntry(name, entry))
    void closeIdleLinks(links)
    return entry
  }
  return {
    get size () { return links.size },
    get: (endpoint) => {
      const name = formatEndpoint(endpoint)
      const known = links.get(name)
      if (known === undefined) {
        return add(endpoint, name)
      }
      // Moves the entry to the end, since the map is ordered by last use.
      links.delete(name)
      links.set(name, known)
      return known
    },
    replaceQuiet: (since) => [...links].forEach(([name, { opened }]) => {
      if (opened !== undefined && opened.lastReceivedAt <= since) {
        replace(name, opened)
      }
    }),
    disconnect: (endpoint, quietSince = Infinity) => {
      const name = formatEndpoint(endpoint)
      const current = links.get(name)?.opened
      const earlier = [...replaced].filter(([, { name: peer }]) => peer === name).map(([link]) => link)
      const quiet = [current, ...earlier].filter((link) => link !== undefined && link.lastReceivedAt <= quietSince)
      if (quiet.includes(current)) {
        // Removed before the event `close`, so that a retry at once does not take the link that is closing.
        links.delete(name)
      }
      quiet.forEach((link) => link?.socket.destroy())
    },
    close: () => {
      replaced.forEach(({ timer }) => clearTimeout(timer))
      sockets.forEach((socket) => socket.destroy())
    }
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
