/**
 * Plug-in `limits`: what organisations may ask for, on all hosts together. Each limit is kept by one host, the first
 * that answers in an order that is the same everywhere; the others ask it before they begin an operation. Hosts that
 * see different ones of the others may ask two that keep the same limit; so the first grants no more than the part of
 * the limit that the hosts it can see have of all, and one that stands in for it a quarter.
 */
import * as z from 'zod'
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { orderByScore } from '../../placement/upstream-homes.ts'
import type { OperationLimit, Organisation } from '../ports/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { createAskers } from './askers.ts'
import { ASK_MS, HOSTS_ASKED, NAMED_IN_METRICS, REACH_VERSION_MS } from './consts.ts'
import { createCredits, type GrantAnswer } from './credits.ts'
import { createLimitOwner, type Standing } from './limit-owner.ts'
import { watchStalls } from './stalls.ts'

/** Service of the plug-in. */
export interface Limits {
  /**
   * Takes one operation from what an organisation's limit leaves.
   *
   * @param organisation - the organisation
   * @returns at once where it has no limit
   * @throws RequestError `LimitReached` with verdict `not-run` and the time to come back
   */
  take: (organisation: Organisation) => Promise<void>
  /** Gives back an operation that was certainly not run. */
  giveBack: (organisation: Organisation) => void
  /** Counts a repetition of an operation that may have run. */
  countAgain: (organisation: string) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { limits: Limits }
}

const questionSchema = z.object({
  organisation: z.string(),
  wanted: z.number().int().positive(),
  /** Version of the desired state by which the asking host goes. */
  version: z.number()
})
const answerSchema = z.object({
  granted: z.number().int().nonnegative(),
  retryAfterMs: z.number().nonnegative(),
  /** Version of the desired state whose limit was kept. */
  version: z.number()
})

registerPlugin({
  name: 'limits',
  needs: ['registry', 'homes', 'peers', 'desiredState', 'metrics'],
  start: (context) => {
    const settings = context.settings as EntrySettings
    const registry = context.use('registry')
    const homes = context.use('homes')
    const { work: links, handle } = context.use('peers')
    const desiredState = context.use('desiredState')
    const { logger } = context
    const count = context.use('metrics').count('worksward_limit_questions', 'Questions to hosts that keep limits, by outcome')
    const versionNow = (): number => desiredState.current?.version ?? -1
    const askers = createAskers({ check: homes.check })
    /** This host counts as one of those that it sees; those of which it knows nothing do not count. */
    const seenPart = (): number => {
      const others = registry.peers()
      const silent = others.filter((host) => homes.reachability(host) === 'silent').length
      const seen = others.filter((host) => homes.reachability(host) === 'answers' || askers.isHeard(host.name)).length
      return (1 + seen) / (1 + seen + silent)
    }
    const keeper = createLimitOwner({
      desiredState: () => desiredState.current, counting: () => settings.limits, seenPart
    })

    /** Hosts in the order in which they keep an organisation's limit, and the list that it was made from. */
    const orders = new Map<string, { liveHosts: KnownHost[], order: KnownHost[] }>()
    const orderOf = (organisation: string): KnownHost[] => {
      const { liveHosts } = registry.current
      const known = orders.get(organisation)
      if (known?.liveHosts === liveHosts) {
        return known.order
      }
      const staying = liveHosts.filter(({ leaving }) => leaving !== true)
      const order = orderByScore(organisation, staying.length > 0 ? staying : liveHosts)
      orders.set(organisation, { liveHosts, order })
      return order
    }
    desiredState.onChange(({ organisations }) => {
      [...orders.keys()].filter((name) => !organisations.has(name)).forEach((name) => orders.delete(name))
    })
    /** Since when the list of hosts is as it is. */
    let listedSince = performance.now()
    let { liveHosts: listed } = registry.current
    registry.onChange(() => {
      if (registry.current.liveHosts !== listed) {
        listed = registry.current.liveHosts
        listedSince = performance.now()
      }
    })
    const stalls = watchStalls()
    const standingOf = (organisation: string): Standing => ({
      isFirst: orderOf(organisation)[0]?.name === registry.self.name,
      sureSince: Math.max(listedSince, stalls.runningSince)
    })
    const grantHere = (organisation: string, wanted: number): GrantAnswer | undefined => {
      const grant = keeper.grant(organisation, wanted, standingOf(organisation))
      if (grant !== undefined && grant.granted < wanted) {
        askers.checkQuiet(registry.peers())
      }
      return grant && { ...grant, version: versionNow(), keeper: registry.self.name }
    }
    const askHost = async (host: KnownHost, organisation: string, wanted: number): Promise<GrantAnswer | undefined> => {
      if (host.name === registry.self.name) {
        return grantHere(organisation, wanted)
      }
      try {
        const question = { organisation, wanted, version: versionNow() }
        const answer = answerSchema.parse(await links.request(host, 'limit-take', question, ASK_MS))
        homes.noteAnswer(host)
        count('answered')
        return { ...answer, keeper: host.name }
      } catch (thrown) {
        homes.noteSilent(host, thrown)
        count('failed')
        logger.log('info', 'limit.owner-failed', { organisation, peer: host.name, reason: describeThrown(thrown) })
        return undefined
      }
    }
    const ask = async (organisation: string, wanted: number): Promise<GrantAnswer | undefined> => {
      for (let tries = 0; tries < HOSTS_ASKED; tries++) {
        const host = homes.firstAnswering(orderOf(organisation))
        const answer = host && await askHost(host, organisation, wanted)
        if (answer !== undefined) {
          return answer
        }
      }
      return undefined
    }
    const limitOf = (organisation: string): OperationLimit | undefined =>
      desiredState.current?.organisations.get(organisation)?.limit
    const credits = createCredits({ ask, limitOf })
    handle('limit-take', async (body, link) => {
      askers.heard(link.host)
      const { organisation, wanted, version } = questionSchema.parse(body)
      await desiredState.reach(version, REACH_VERSION_MS)
      const answer = grantHere(organisation, wanted)
      return {
        granted: answer?.granted ?? 0, retryAfterMs: answer?.retryAfterMs ?? REACH_VERSION_MS, version: versionNow()
      }
    })
    /** The organisations that were granted most, and the rest together. */
    const grantedByOrganisation = (): Record<string, number> => {
      const all = [...keeper.kept()].map(([name, { granted }]) => [name, granted] as const)
      const sorted = all.sort(([, left], [, right]) => right - left)
      const others = sorted.slice(NAMED_IN_METRICS).reduce((sum, [, granted]) => sum + granted, 0)
      return { ...Object.fromEntries(sorted.slice(0, NAMED_IN_METRICS)), others }
    }
    context.use('metrics').expose(
      'worksward_limit_granted', 'Operations granted by this host as the one that keeps limits', grantedByOrganisation)

    return {
      service: {
        take: async ({ name, limit }) => {
          if (limit !== undefined) {
            await credits.take(name)
          }
        },
        giveBack: ({ name, limit }) => {
          if (limit !== undefined) {
            credits.giveBack(name)
          }
        },
        countAgain: (name) => {
          if (limitOf(name) !== undefined) {
            credits.countAgain(name)
          }
        }
      },
      dump: () => Object.fromEntries([...keeper.kept()].map(([name, kept]) =>
        [name, { ...kept, ...limitOf(name) }])),
      close: stalls.close
    }
  }
})
