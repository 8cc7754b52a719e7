/** Plug-in `peers`: links to other processes, and handlers for their requests. */
import type { MemberSettings } from '../core/config/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'
import type { Endpoint } from '../core/wire/dialer.ts'
import { requestOrDisconnect } from './ask-peer.ts'
import { createPeerClient, type PeerClient } from './peer-client.ts'
import { listenForPeers } from './peer-server.ts'
import type { PeerHandler } from './types.ts'

/** Service of the plug-in `peers`. */
export interface Peers {
  /** Port on which this process listens for peers. */
  port: number
  /** Sends a request; see {@link PeerClient.request}. */
  request: (endpoint: Endpoint, type: string, body: unknown, timeoutMs: number) => Promise<unknown>
  /**
   * Sends a request like {@link Peers.request}, and closes a silent link on timeout: after a network partition an old
   * connection may stall for many seconds while a new one works.
   */
  requestOrDisconnect: (endpoint: Endpoint, type: string, body: unknown, timeoutMs: number) => Promise<unknown>
  /** Closes the link to a peer; see {@link PeerClient.disconnect}. */
  disconnect: PeerClient['disconnect']
  /**
   * Links for callers' statements. They are separate from the links for control requests, since closing those on a
   * timeout must not leave the outcome of a statement unknown. Their owner detects silent links (`entry/homes/`).
   */
  work: Pick<PeerClient, 'request' | 'disconnect'>
  /** Registers the handler of a request type. */
  handle: (type: string, handler: PeerHandler) => void
  /** Number of requests of peers in progress. */
  readonly inProgress: number
}

declare module '../core/kernel/index.ts' {
  interface Services { peers: Peers }
}

/**
 * Timeout to open a link for statements, and maximum wait of a statement for the link, in milliseconds. The wait is
 * short because another host can run the statement; a link to a busy peer opens later and serves later statements.
 * After the start of the process all links have to be opened, and waiting costs less than opening others instead.
 */
const WORK_CONNECT_MS = 1000
const WORK_LINK_WAIT_MS = { usual: 200, atStart: 500 } as const
/** Time after the start of the process for which statements wait longer for their links, in milliseconds. */
const START_MS = 2000
/** Time for the last replies to be written when this process closes its links, in milliseconds. */
const REPLY_FLUSH_MS = 200

registerPlugin({
  name: 'peers',
  dependencies: [],
  start: async (context) => {
    const settings = context.settings as MemberSettings
    const handlers = new Map<string, PeerHandler>()
    const { key } = settings.peers
    const host = settings.host.name
    const server = await listenForPeers({
      host, key, handlers, address: settings.host.address, port: settings.listen.peers, logger: context.logger
    })
    const client = createPeerClient({ host, key, dialer: context.dialer })
    const startedAt = performance.now()
    const work = createPeerClient({
      host,
      key,
      dialer: context.dialer,
      connectTimeoutMs: WORK_CONNECT_MS,
      linkWaitMs: () =>
        performance.now() - startedAt < START_MS ? WORK_LINK_WAIT_MS.atStart : WORK_LINK_WAIT_MS.usual,
      replaceSilentLinks: false
    })
    return {
      service: {
        port: server.port,
        request: client.request,
        requestOrDisconnect: async (endpoint, type, body, timeoutMs) =>
          await requestOrDisconnect(client, endpoint, type, body, timeoutMs),
        disconnect: client.disconnect,
        work,
        handle: (type, handler) => handlers.set(type, handler),
        get inProgress () { return server.inProgress }
      },
      dump: () => ({
        port: server.port,
        linksIn: server.links,
        linksOut: client.links,
        workLinksOut: work.links,
        inProgress: server.inProgress,
        lateAnswers: client.lateAnswers
      }),
      close: async () => {
        client.close()
        work.close()
        await server.close(REPLY_FLUSH_MS)
      }
    }
  }
})
