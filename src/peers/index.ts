/** Plug-in `peers`: owns the links to other processes and the handlers for their requests. */
import type { MemberSettings } from '../core/config/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'
import type { Endpoint } from '../core/wire/dialer.ts'
import { askPeer } from './ask-peer.ts'
import { createPeerClient, type PeerClient } from './peer-client.ts'
import { listenForPeers } from './peer-server.ts'
import type { PeerHandler } from './types.ts'

/** Service of the plug-in. */
export interface Peers {
  /** Port on which this process answers peers. */
  port: number
  /** Sends a request; see {@link PeerClient.request}. */
  request: (endpoint: Endpoint, type: string, body: unknown, timeoutMs: number) => Promise<unknown>
  /**
   * Sends a request like {@link Peers.request}, and breaks the link when no answer comes in time: after a partition a
   * connection may stay silent for many seconds while a new one works.
   */
  requestOrDisconnect: (endpoint: Endpoint, type: string, body: unknown, timeoutMs: number) => Promise<unknown>
  /** Breaks the link to a peer; see {@link PeerClient.disconnect}. */
  disconnect: (endpoint: Endpoint) => void
  /**
   * Links for callers' statements, apart from those for questions between hosts: an answer that is late there breaks
   * the link, which must not leave a statement in doubt.
   */
  work: Pick<PeerClient, 'request' | 'disconnect'>
  /** Registers the handler for a type of request. */
  handle: (type: string, handler: PeerHandler) => void
  /** Requests of peers in progress here. */
  readonly inProgress: number
}

declare module '../core/kernel/index.ts' {
  interface Services { peers: Peers }
}

/**
 * Time to open a link for statements, and for which a statement waits for it, in milliseconds. The wait is short, since
 * another host can take the statement; a busy peer needs longer, and then takes the next ones.
 */
const WORK_CONNECT_MS = 1000
const WORK_LINK_WAIT_MS = 200

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
    const work = createPeerClient({
      host, key, dialer: context.dialer, connectTimeoutMs: WORK_CONNECT_MS, linkWaitMs: WORK_LINK_WAIT_MS
    })
    return {
      service: {
        port: server.port,
        request: client.request,
        requestOrDisconnect: async (endpoint, type, body, timeoutMs) =>
          await askPeer(client, endpoint, type, body, timeoutMs),
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
        await server.close()
      }
    }
  }
})
