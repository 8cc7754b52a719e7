/**
 * Plug-in `failover`: watches the groups placed on this keeper and makes new primaries. Wires watches to membership,
 * configuration and peers.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Group, KeeperSettings } from '../../core/config/index.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import { createGroupWatch, type GroupWatch } from './group-watch.ts'
import { createNotices } from './notices.ts'
import { evidenceSchema, leadershipNoticeSchema, promotionWishSchema } from './types.ts'
import { createWatchedGroups } from './watched-groups.ts'

/** Service of the plug-in. */
interface Failover {
  /** Groups watched here. */
  watches: () => Map<string, GroupWatch>
}

declare module '../../core/kernel/index.ts' {
  interface Services { failover: Failover }
}

/** Time between two checks of which groups are placed here, in milliseconds. */
const PLACEMENT_MS = 500

registerPlugin({
  name: 'failover',
  dependencies: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as KeeperSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const notices = createNotices(membership, context.use('peers'))

    const startWatch = (name: string, group: Group): GroupWatch => createGroupWatch({
      name,
      group,
      settings,
      dialer: context.dialer,
      logger: context.logger,
      rank: () => Math.max(0, notices.keepersOf(name).findIndex(({ host }) => host === settings.host.name)),
      spreadEvidence: (observation) => notices.spreadEvidence(name, observation),
      announce: (leadership) => notices.announce(name, leadership)
    })
    const { watches, place, close } = createWatchedGroups({
      host: settings.host.name, configuration, keepersOf: notices.keepersOf, startWatch
    })

    const timer = setInterval(place, PLACEMENT_MS)
    timer.unref()
    membership.onChange(place)
    configuration.onChange(({ name, group }) => {
      if (group !== null) {
        watches.get(name)?.update(group)
      }
      place()
    })
    handlePeerRequests(context, watches)

    return {
      service: { watches: () => watches },
      dump: () => Object.fromEntries([...watches].map(([name, watch]) => [name, watch.dump()])),
      close: () => {
        clearInterval(timer)
        close()
      }
    }
  }
})

/** Observations, announcements and operators' requests reach the watch of their group, if it is watched here. */
function handlePeerRequests (context: PluginContext, watches: Map<string, GroupWatch>): void {
  const peers = context.use('peers')
  peers.handle('evidence', async (body) => {
    const { group, ...observation } = evidenceSchema.parse(body)
    watches.get(group)?.hear(observation)
    return true
  })
  peers.handle('leadership', async (body) => {
    const { group, ...leadership } = leadershipNoticeSchema.parse(body)
    watches.get(group)?.hearLeadership(leadership)
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
