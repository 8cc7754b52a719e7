/** Plug-in `failover`: watches the groups placed on this keeper and makes new primaries. */
import { RequestError } from '../../core/errors/index.ts'
import type { KeeperSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import type { Member } from '../membership/types.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { createGroupWatch, type GroupWatch } from './group-watch.ts'
import { evidenceSchema, KEEPERS_PER_GROUP, leadershipNoticeSchema, promotionWishSchema } from './types.ts'

/** Service of the plug-in. */
interface Failover {
  /** Groups watched here. */
  watches: () => Map<string, GroupWatch>
}

declare module '../../core/kernel/index.ts' {
  interface Services { failover: Failover }
}

const NOTICE_TIMEOUT_MS = 500
/** Time between two looks at which groups are placed here, in milliseconds. */
const PLACEMENT_MS = 500
/** Homes that are told of a new primary at once; others learn from their own probes. */
const TOLD_HOMES = 8

registerPlugin({
  name: 'failover',
  needs: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as KeeperSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const watches = new Map<string, GroupWatch>()

    const keepersOf = (group: string): Member[] => placeGroup(group, membership.present('keeper'), KEEPERS_PER_GROUP)
    const rankIn = (group: string): number =>
      Math.max(0, keepersOf(group).findIndex(({ host }) => host === settings.host.name))

    const tell = (members: Member[], type: string, body: unknown): void => {
      members.filter(({ host }) => host !== settings.host.name).forEach((member) => {
        peers.request(member, type, body, NOTICE_TIMEOUT_MS).catch(() => {})
      })
    }

    const start = (name: string): void => {
      const group = configuration.group(name)
      if (group === undefined) {
        return
      }
      watches.set(name, createGroupWatch({
        name,
        group,
        settings,
        dialer: context.dialer,
        logger: context.logger,
        rank: () => rankIn(name),
        spreadEvidence: (observation) =>
          tell(keepersOf(name), 'evidence', { ...observation, group: name, host: settings.host.name }),
        announce: (leadership) => {
          const homes = placeGroup(name, membership.present('proxy'), TOLD_HOMES)
          tell([...homes, ...keepersOf(name)], 'leadership', { ...leadership, group: name })
        }
      }))
    }

    const place = (): void => {
      for (const { name, group } of configuration.versions()) {
        const watched = watches.get(name)
        const here = group !== null && keepersOf(name).some(({ host }) => host === settings.host.name)
        if (here && watched === undefined) {
          start(name)
        }
        if (!here && watched !== undefined) {
          watched.close()
          watches.delete(name)
        }
      }
    }
    const timer = setInterval(place, PLACEMENT_MS)
    timer.unref()
    membership.onChange(place)
    configuration.onChange(({ name, group }) => {
      if (group !== null) {
        watches.get(name)?.update(group)
      }
      place()
    })

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

    return {
      service: { watches: () => watches },
      dump: () => Object.fromEntries([...watches].map(([name, watch]) => [name, watch.dump()])),
      close: () => {
        clearInterval(timer)
        watches.forEach((watch) => watch.close())
      }
    }
  }
})
