/**
 * Plug-in `routing`: brings each request to a home of its group, and is a home itself. Wires the homes of this process
 * to configuration, membership and peers.
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

/** Service of the plug-in. */
export interface Routing extends HomeRequests {
  /** Homes of a group, best first. */
  homesOf: (group: string) => Member[]
  /** Opens all groups that are placed here, and asks their upstreams, so that their state can be shown. */
  openPlaced: () => Promise<void>
  /** Groups that this process serves as a home. */
  homes: () => Map<string, GroupHome>
  /** Counts summed over all groups served here. */
  counts: () => GroupCounts
}

declare module '../../core/kernel/index.ts' {
  interface Services { routing: Routing }
}

/** Requests of open transactions, which a home that is draining still serves. */
const TRANSACTION_STEPS: ReadonlySet<HomeRequest['type']> = new Set(['transaction-execute', 'commit', 'rollback'])

registerPlugin({
  name: 'routing',
  needs: ['configuration', 'membership', 'peers'],
  start: (context) => {
    const settings = context.settings as ProxySettings
    const { name: host, failureDomain } = settings.host
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const reportEvidence = createEvidenceReports({ host, failureDomain, membership, peers })
    let draining = false

    const placements = createPlacementCache<Member>()
    const updatePlacements = (): void => placements.update(membership.present('proxy'))
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
        seed: seedOf(host + name),
        onEvidence: (upstream, term) => reportEvidence(name, upstream, term)
      })
    })
    configuration.onChange(({ name, group }) => homes.update(name, group))

    const serveHere = async (request: HomeRequest): Promise<HomeReply> => {
      if (draining && !TRANSACTION_STEPS.has(request.type)) {
        throw new RequestError('not-run', 'Stopping', { host })
      }
      return await homes.homeOf(request.group).serve(request)
    }
    handlePeerRequests(context, homes.byGroup, serveHere)
    const requests = createHomeRequests({ membership, peers, homesOf, serveHere })

    return {
      service: {
        get passedOn () { return requests.passedOn },
        send: requests.send,
        sendTo: requests.sendTo,
        homesOf,
        openPlaced: homes.openPlaced,
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

/** Requests that other proxies pass on, and new primaries that keepers announce. */
function handlePeerRequests (
  context: PluginContext, homes: Map<string, GroupHome>, serveHere: (request: HomeRequest) => Promise<HomeReply>
): void {
  const peers = context.use('peers')
  const linkTransactions = createLinkTransactions()

  peers.handle('home', async (body, link) => {
    const request = body as HomeRequest
    if (request.type === 'begin') {
      linkTransactions.add(link, request.transactionId, () => {
        // The link is gone, so nobody waits for the outcome; the transaction leaves the table whether it fails or not.
        homes.get(request.group)?.serve({ ...request, type: 'rollback' }).catch(() => {})
      })
    }
    try {
      return await serveHere(request)
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

/** Hashes a text to a seed; any hash that differs between homes will do. */
function seedOf (text: string): number {
  return [...text].reduce((hash, character) => (hash * 31 + character.charCodeAt(0)) | 0, 7)
}
