/** Plug-in `routing`: brings each request to a home of its group, and is a home itself. */
import { RequestError } from '../../core/errors/index.ts'
import type { ProxySettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Member } from '../membership/types.ts'
import { createGroupHome, type GroupCounts, type GroupHome } from './group-home.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { createOpenTransactions } from './open-transactions.ts'
import { createPlacementCache } from './placement-cache.ts'
import { createHomeRequests, type HomeRequests } from './home-requests.ts'
import { KEEPERS_PER_GROUP, leadershipNoticeSchema } from '../failover/types.ts'
import type { HomeReply, HomeRequest } from './types.ts'

/** Service of the plug-in. */
export interface Routing extends HomeRequests {
  /** Homes of a group, best first. */
  homesOf: (group: string) => Member[]
  /** Opens all groups that are placed here, and asks their upstreams, so that their state can be shown. */
  openPlaced: () => Promise<void>
  /** Groups this process is serving as a home now. */
  homes: () => Map<string, GroupHome>
  /** Counts summed over all groups served here. */
  counts: () => GroupCounts
}

declare module '../../core/kernel/index.ts' {
  interface Services { routing: Routing }
}

/** Time after which a group that is no longer placed here is let go, in milliseconds. */
const RELEASE_MS = 1000
/** Pause between two looks at whether everything in flight is done, in milliseconds. */
const DRAIN_POLL_MS = 10
const NOTICE_TIMEOUT_MS = 500

registerPlugin({
  name: 'routing',
  needs: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as ProxySettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const homes = new Map<string, GroupHome>()
    let draining = false

    const homesOf = (name: string): Member[] => {
      const count = configuration.group(name)?.limits.homes ?? 0
      return placements.place(name, count)
    }
    const placements = createPlacementCache<Member>()
    const updatePlacements = (): void => placements.update(membership.present('proxy'))
    updatePlacements()
    membership.onChange(updatePlacements)

    /** Keepers learn at once of an upstream that failed a request here. */
    const reportEvidence = (group: string, upstream: string, term: number): void => {
      const evidence = { group, upstream, term, failureDomain: settings.host.failureDomain, host: settings.host.name }
      placeGroup(group, membership.present('keeper'), KEEPERS_PER_GROUP).forEach((keeper) => {
        peers.request(keeper, 'evidence', evidence, NOTICE_TIMEOUT_MS).catch(() => {})
      })
    }

    const homeOf = (name: string): GroupHome => {
      const existing = homes.get(name)
      if (existing !== undefined) {
        return existing
      }
      const group = configuration.group(name)
      if (group === undefined) {
        throw new RequestError('not-run', 'UnknownGroup', { group: name })
      }
      const home = createGroupHome({
        name,
        group,
        dialer: context.dialer,
        logger: context.logger,
        failureDomain: settings.host.failureDomain,
        seed: seedOf(settings.host.name + name),
        onEvidence: (upstream, term) => reportEvidence(name, upstream, term)
      })
      homes.set(name, home)
      return home
    }

    const serveHere = async (request: HomeRequest): Promise<HomeReply> => {
      const continues = request.type === 'transaction-execute' || request.type === 'commit' ||
        request.type === 'rollback'
      if (draining && !continues) {
        throw new RequestError('not-run', 'Stopping', { host: settings.host.name })
      }
      return await homeOf(request.group).serve(request)
    }

    configuration.onChange(({ name, group }) => {
      const home = homes.get(name)
      if (group === null) {
        home?.close()
        homes.delete(name)
        return
      }
      home?.update(group)
    })

    const openTransactions = createOpenTransactions()
    peers.handle('home', async (body, link) => {
      const request = body as HomeRequest
      if (request.type === 'begin') {
        openTransactions.add(link, request.transactionId, () => {
          homes.get(request.group)?.serve({ ...request, type: 'rollback' }).catch(() => {})
        })
      }
      try {
        return await serveHere(request)
      } finally {
        if (request.type === 'commit' || request.type === 'rollback') {
          openTransactions.remove(link, request.transactionId)
        }
      }
    })
    peers.handle('leadership', async (body) => {
      const { group, term, primary } = leadershipNoticeSchema.parse(body)
      homes.get(group)?.view.announce({ term, primary })
      return true
    })

    const release = setInterval(() => {
      for (const [name, home] of homes) {
        const placedHere = homesOf(name).some(({ host }) => host === settings.host.name)
        if (!placedHere && home.busy === 0) {
          home.close()
          homes.delete(name)
        }
      }
    }, RELEASE_MS)
    release.unref()

    const requests = createHomeRequests({ membership, peers, homesOf, serveHere })
    return {
      service: {
        get passedOn () { return requests.passedOn },
        send: requests.send,
        sendTo: requests.sendTo,
        homesOf,
        openPlaced: async () => {
          const names = configuration.versions().filter(({ group }) => group !== null).map(({ name }) => name)
          const placed = names.filter((name) => homesOf(name).some(({ host }) => host === settings.host.name))
          await Promise.all(placed.map(async (name) => await homeOf(name).view.refreshNow()))
        },
        homes: () => homes,
        counts: () => sumCounts([...homes.values()].map(({ counts }) => counts))
      },
      dump: () => ({
        draining,
        passedOn: requests.passedOn,
        homes: Object.fromEntries([...homes].map(([name, home]) => [name, home.dump()]))
      }),
      drain: async () => {
        draining = true
        const until = performance.now() + settings.stopMs
        while ([...homes.values()].some((home) => home.busy > 0) && performance.now() < until) {
          await pause(DRAIN_POLL_MS)
        }
      },
      close: () => {
        clearInterval(release)
        homes.forEach((home) => home.close())
      }
    }
  }
})

function sumCounts (all: GroupCounts[]): GroupCounts {
  const sum: GroupCounts = {
    readsOnReplicas: 0, readsOnPrimary: 0, writes: 0, replays: 0, retries: 0, refused: 0, transactions: 0
  }
  for (const counts of all) {
    (Object.keys(sum) as Array<keyof GroupCounts>).forEach((name) => { sum[name] += counts[name] })
  }
  return sum
}

function seedOf (text: string): number {
  return [...text].reduce((hash, character) => (hash * 31 + character.charCodeAt(0)) | 0, 7)
}
