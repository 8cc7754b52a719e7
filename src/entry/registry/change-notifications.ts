/**
 * Plug-in `tableNews`: the hosts that follow a table of the store notify each other of its changes. An open connection
 * may go silent for good, and a question for changes waits long on one; a host that is notified of a change which its
 * own question has not returned reads the table again.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { sampleItems } from '../../core/random.ts'
import { pause } from '../../core/time/deadline.ts'
import { followersOf } from './readers.ts'
import type { KnownHost } from './snapshot.ts'

/** Service of the plug-in. */
export interface ChangeNotifications {
  /**
   * Notifies peers that a table has changed.
   *
   * @param table - the table
   * @param version - version of its newest changed row
   */
  notify: (table: string, version: number) => void
  /** Calls back when a peer notifies this host of a change of a table. */
  onNotified: (table: string, listener: (version: number, peer: string) => void) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { tableNews: ChangeNotifications }
}

/**
 * Peers that each host notifies, chosen at random. Of 2,300 hosts on which every third question hangs, fewer than one
 * in a thousand is then notified by nobody (e to the power of -8); with few hosts each notifies all others.
 */
const FANOUT = 8
/**
 * Greatest delay before peers are notified, in milliseconds: those that have notified this host meanwhile are left out.
 */
const NOTIFY_DELAY_MS = 100
/** Time that a peer has to acknowledge, in milliseconds, and tries: a link may be silent. */
const NOTIFY_MS = 600
const NOTIFY_TRIES = 2

const notificationSchema = z.object({ table: z.string(), version: z.number(), host: z.string() })

registerPlugin({
  name: 'tableNews',
  dependencies: ['registry', 'peers'],
  start: (context) => {
    const registry = context.use('registry')
    const peers = context.use('peers')
    const { logger } = context
    const listeners = new Map<string, Array<(version: number, peer: string) => void>>()
    /** Newest version of which each peer has notified this host, by table and peer. */
    const notifiedBy = new Map<string, Map<string, number>>()
    /** Versions of pending notifications, by table: changes in quick succession make one notification. */
    const pending = new Map<string, number>()

    const knownAt = (table: string, peer: string): number => notifiedBy.get(table)?.get(peer) ?? -1
    const recordNotified = (table: string, peer: string, version: number): void => {
      const versions = notifiedBy.get(table) ?? new Map<string, number>()
      versions.set(peer, Math.max(version, knownAt(table, peer)))
      notifiedBy.set(table, versions)
    }
    const notifyPeer = async (peer: KnownHost, table: string, version: number): Promise<void> => {
      const notification = { table, version, host: registry.self.name }
      for (let tries = 1; tries <= NOTIFY_TRIES; tries++) {
        try {
          await peers.requestOrDisconnect(peer, 'table-news', notification, NOTIFY_MS)
          return
        } catch (thrown) {
          logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
        }
      }
    }
    const notifySome = async (table: string): Promise<void> => {
      const version = pending.get(table)!
      pending.delete(table)
      const behind = followersOf(registry.current.liveHosts)
        .filter(({ name }) => name !== registry.self.name && knownAt(table, name) < version)
      await Promise.all(sampleItems(behind, FANOUT).map(async (peer) => await notifyPeer(peer, table, version)))
    }
    peers.handle('table-news', async (body) => {
      const { table, version, host } = notificationSchema.parse(body)
      recordNotified(table, host, version)
      listeners.get(table)?.forEach((listener) => listener(version, host))
      return {}
    })
    return {
      service: {
        notify: (table, version) => {
          const before = pending.get(table)
          pending.set(table, Math.max(version, before ?? 0))
          if (before === undefined) {
            void pause(Math.random() * NOTIFY_DELAY_MS).then(async () => await notifySome(table))
          }
        },
        onNotified: (table, listener) => { listeners.set(table, [...listeners.get(table) ?? [], listener]) }
      }
    }
  }
})
