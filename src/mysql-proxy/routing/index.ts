/**
 * Plug-in `routing`: sends each request to a home of its group, and serves the groups that are placed on this process.
 * Connects the homes of this process to configuration, membership and peer links.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { ProxySettings } from '../../core/config/index.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import type { Member } from '../membership/types.ts'
import { leadershipNoticeSchema } from '../failover/types.ts'
import { createEvidenceReports } from './evidence-reports.ts'
import { sumCounts, type GroupCounts } from './group-counts.ts'
import { createGroupHome, type GroupHome } from './group-home.ts'
import { createHomeRequests, type HomeRequests } from './home-requests.ts'
import { createLinkTransactions } from './link-transactions.ts'
import { createPlacedHomes } from './placed-homes.ts'
import { createPlacementCache } from './placement-cache.ts'
import type { HomeReply, HomeRequest } from './types.ts'

/** Service that the plug-in provides. */
export interface Routing extends HomeRequests {
  /** Returns the homes of a group, best first. */
  homesOf: (group: string) => Member[]
  /** Opens all groups placed on this process and refreshes the status of their upstreams, for display to operators. */
  openPlacedGroups: () => Promise<void>
  /** Returns the open homes of this process, by group. */
  homes: () => Map<string, GroupHome>
  /** Returns the counters summed over all groups served by this process. */
  counts: () => GroupCounts
}

declare module '../../core/kernel/index.ts' {
  interface Services { routing: Routing }
}

/** Requests of open transactions, which are still served while this process drains. */
const TRANSACTION_STEPS: ReadonlySet<HomeRequest['type']> = new Set(['transaction-execute', 'commit', 'rollback'])

registerPlugin({
  name: 'routing',
  dependencies: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as ProxySettings
    const { name: host, failureDomain } = settings.host
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const reportEvidence = createEvidenceReports({ host, failureDomain, membership, peers })
    let draining = false

    const placements = createPlacementCache<Member>()
    const updatePlacements = (): void => placements.update(membership.available('proxy'))
    updatePlacements()
    membership.onChange(updatePlacements)
    const homesOf = (group: string): Member[] =>
      placements.place(group, configuration.group(group)?.limits.homes ?? 0)

    const homes = createPlacedHomes({
      configuration,
      isPlacedHere: (group) => homesOf(group).some((member) => member.host === host),
      open: (name, group) => createGroupHome({
        name,
        group,
        dialer: context.dialer,
        logger: context.logger,
        failureDomain,
        seed: hashSeed(host + name),
        onUpstreamFailure: (upstream, term) => reportEvidence(name, upstream, term)
      })
    })
    configuration.onChange(({ name, group }) => homes.update(name, group))

    const serveLocally = async (request: HomeRequest): Promise<HomeReply> => {
      if (draining && !TRANSACTION_STEPS.has(request.type)) {
        throw new RequestError('not-run', 'Stopping', { host })
      }
      return await homes.homeOf(request.group).serve(request)
    }
    handlePeerRequests(context, homes.byGroup, serveLocally)
    const requests = createHomeRequests({ membership, peers, homesOf, serveLocally })

    return {
      service: {
        get passedOn () { return requests.passedOn },
        send: requests.send,
        sendTo: requests.sendTo,
        homesOf,
        openPlacedGroups: homes.openPlacedGroups,
        homes: () => homes.byGroup,
        counts: () => sumCounts([...homes.byGroup.values()].map(({ counts }) => counts))
      },
      dump: () => ({
        draining,
        passedOn: requests.passedOn,
        homes: Object.fromEntries([...homes.byGroup].map(([name, home]) => [name, home.dump()]))
      }),
      drain: async () => {
        draining = true
        await homes.waitUntilIdle(settings.stopMs)
      },
      close: homes.close
    }
  }
})

/** Handles requests forwarded by other proxies, and new primaries announced by keepers. */
function handlePeerRequests (
  context: PluginContext, homes: Map<string, GroupHome>, serveLocally: (request: HomeRequest) => Promise<HomeReply>
): void {
  const peers = context.use('peers')
  const linkTransactions = createLinkTransactions()

  peers.handle('home', async (body, link) => {
    const request = body as HomeRequest
    if (request.type === 'begin') {
      linkTransactions.add(link, request.transactionId, () => {
        // The peer has disconnected and needs no reply. The transaction is removed even if its rollback fails.
        homes.get(request.group)?.serve({ ...request, type: 'rollback' }).catch(() => {})
      })
    }
    try {
      return await serveLocally(request)
    } finally {
      if (request.type === 'commit' || request.type === 'rollback') {
        linkTransactions.remove(link, request.transactionId)
      }
    }
  })
  peers.handle('leadership', async (body) => {
    const { group, term, primary } = leadershipNoticeSchema.parse(body)
    homes.get(group)?.view.adoptLeadership({ term, primary })
    return true
  })
}

/** Hashes a text to a seed, so that each home chooses replicas in a different order. */
function hashSeed (text: string): number {
  return [...text].reduce((hash, character) => (hash * 31 + character.charCodeAt(0)) | 0, 7)
}
