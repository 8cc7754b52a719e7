/**
 * Plug-in `failover`: watches the groups assigned to this keeper and elects their primaries. Connects the watches to
 * membership, configuration and peers.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Group, KeeperSettings } from '../../core/config/index.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import { startStallMeter } from '../../core/time/stall-meter.ts'
import { createGroupWatch, type GroupWatch } from './group-watch.ts'
import { createNotices } from './notices.ts'
import { evidenceSchema, leadershipNoticeSchema, promotionWishSchema } from './types.ts'
import { createWatchedGroups } from './watched-groups.ts'

/** Service of the plug-in. */
interface Failover {
  /** Groups watched by this keeper, by name. */
  watches: () => Map<string, GroupWatch>
}

declare module '../../core/kernel/index.ts' {
  interface Services { failover: Failover }
}

/** Interval at which watches are matched to the assigned groups, in milliseconds. */
const RECONCILE_INTERVAL_MS = 500

registerPlugin({
  name: 'failover',
  dependencies: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as KeeperSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const stalls = startStallMeter()
    const notices = createNotices(membership, context.use('peers'))

    const startWatch = (name: string, group: Group): GroupWatch => createGroupWatch({
      name,
      group,
      settings,
      dialer: context.dialer,
      logger: context.logger,
      stalls,
      rank: () => Math.max(0, notices.keepersOf(name).findIndex(({ host }) => host === settings.host.name)),
      broadcastObservation: (observation) => notices.broadcastObservation(name, observation),
      announce: (leadership) => notices.announce(name, leadership)
    })
    const { watches, reconcile, close } = createWatchedGroups({
      host: settings.host.name, configuration, keepersOf: notices.keepersOf, startWatch
    })

    const timer = setInterval(reconcile, RECONCILE_INTERVAL_MS)
    timer.unref()
    membership.onChange(reconcile)
    configuration.onChange(({ name, group }) => {
      if (group !== null) {
        watches.get(name)?.update(group)
      }
      reconcile()
    })
    handlePeerRequests(context, watches)

    return {
      service: { watches: () => watches },
      dump: () => Object.fromEntries([...watches].map(([name, watch]) => [name, watch.dump()])),
      close: () => {
        clearInterval(timer)
        stalls.close()
        close()
      }
    }
  }
})

/** Dispatches observations, announcements and promotion requests from peers to the watch of their group. */
function handlePeerRequests (context: PluginContext, watches: Map<string, GroupWatch>): void {
  const peers = context.use('peers')
  peers.handle('evidence', async (body) => {
    const { group, ...observation } = evidenceSchema.parse(body)
    watches.get(group)?.recordObservation(observation)
    return true
  })
  peers.handle('leadership', async (body) => {
    const { group, ...leadership } = leadershipNoticeSchema.parse(body)
    watches.get(group)?.recordLeadership(leadership)
    return true
  })
  peers.handle('promote', async (body) => {
    const { group, upstream } = promotionWishSchema.parse(body)
    const watch = watches.get(group)
    if (watch === undefined) {
      throw new RequestError('not-run', 'UnknownGroup', { group })
    }
    return await watch.promote(upstream)
  })
}
