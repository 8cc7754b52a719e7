/**
 * Plug-in `tableNews`: hosts that follow a table of the store notify each other of its changes. A host whose long poll
 * hangs on a silent connection reads the table again when a peer notifies it of a change that it has not received.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { sampleItems } from '../../core/random.ts'
import { pause } from '../../core/time/deadline.ts'
import { followersOf } from './readers.ts'
import type { KnownHost } from './snapshot.ts'

export interface ChangeNotifications {
  /**
   * Notifies peers that a table has changed.
   *
   * @param table - the table
   * @param version - version of its newest changed row
   */
  notify: (table: string, version: number) => void
  /** Adds a listener that is called when a peer notifies this host of a change to the table. */
  onNotified: (table: string, listener: (version: number, peer: string) => void) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { tableNews: ChangeNotifications }
}

/**
 * Number of random peers that each host notifies. In a small deployment these are all others; in a large one, a host
 * that nobody notifies hears of the change with the registry.
 */
const FANOUT = 8
/** Maximum delay of a notification, in milliseconds; peers that notify this host within it need none. */
const NOTIFY_DELAY_MS = 100
/** Time that a peer has to acknowledge a notification, in milliseconds. */
const NOTIFY_TIMEOUT_MS = 600
const NOTIFY_ATTEMPTS = 2

const notificationSchema = z.object({ table: z.string(), version: z.number(), host: z.string() })

registerPlugin({
  name: 'tableNews',
  dependencies: ['registry', 'peers'],
  start: (context) => {
    const registry = context.use('registry')
    const peers = context.use('peers')
    const { logger } = context
    const listeners = new Map<string, Array<(version: number, peer: string) => void>>()
    /** Newest version reported by each peer, by table and peer. */
    const reportedVersions = new Map<string, Map<string, number>>()
    /** Versions of pending notifications, by table; changes in quick succession share one notification. */
    const pending = new Map<string, number>()

    const reportedBy = (table: string, peer: string): number => reportedVersions.get(table)?.get(peer) ?? -1
    const recordReport = (table: string, peer: string, version: number): void => {
      const versions = reportedVersions.get(table) ?? new Map<string, number>()
      versions.set(peer, Math.max(version, reportedBy(table, peer)))
      reportedVersions.set(table, versions)
    }
    const notifyPeer = async (peer: KnownHost, table: string, version: number): Promise<void> => {
      const notification = { table, version, host: registry.self.name }
      for (let attempt = 1; attempt <= NOTIFY_ATTEMPTS; attempt++) {
        try {
          await peers.requestOrDisconnect(peer, 'table-news', notification, NOTIFY_TIMEOUT_MS)
          return
        } catch (thrown) {
          logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
        }
      }
    }
    const notifyPeers = async (table: string): Promise<void> => {
      const version = pending.get(table)!
      pending.delete(table)
      const outdated = followersOf(registry.current.liveHosts)
        .filter(({ name }) => name !== registry.self.name && reportedBy(table, name) < version)
      await Promise.all(sampleItems(outdated, FANOUT).map(async (peer) => await notifyPeer(peer, table, version)))
    }
    peers.handle('table-news', async (body) => {
      const { table, version, host } = notificationSchema.parse(body)
      recordReport(table, host, version)
      listeners.get(table)?.forEach((listener) => listener(version, host))
      return {}
    })
    return {
      service: {
        notify: (table, version) => {
          const before = pending.get(table)
          pending.set(table, Math.max(version, before ?? 0))
          if (before === undefined) {
            void pause(Math.random() * NOTIFY_DELAY_MS).then(async () => await notifyPeers(table))
          }
        },
        onNotified: (table, listener) => { listeners.set(table, [...listeners.get(table) ?? [], listener]) }
      }
    }
  }
})
