/**
 * Plug-in `limits`: what organisations may ask for, on all hosts together. Each limit is owned by one host, the first
 * that answers in an order that is the same everywhere; the others ask it before they begin an operation. README.md
 * names the module of each decision.
 */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import type { OperationLimit, Organisation } from '../ports/index.ts'
import { grantedByOrganisation } from './granted-metric.ts'
import { createLimitOrder } from './limit-order.ts'
import { createLimitOwner, type LimitOwner } from './limit-owner.ts'
import { answerLimitQuestion, createLimitQuestions } from './limit-questions.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from './prefetched-grants.ts'
import { watchProcessPauses } from './process-pauses.ts'
import { createRecentRequesters } from './recent-requesters.ts'
import { seenPartOf } from './seen-part.ts'
import type { Grant } from './token-bucket.ts'

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

registerPlugin({
  name: 'limits',
  dependencies: ['registry', 'homes', 'peers', 'desiredState', 'metrics'],
  start: (context) => {
    const { use, logger } = context
    const registry = use('registry')
    const homes = use('homes')
    const { work: links, handle } = use('peers')
    const desiredState = use('desiredState')
    const metrics = use('metrics')
    const count = metrics.registerCounter('worksward_limit_questions', 'Questions to hosts that keep limits, by outcome')
    const version = (): number => desiredState.current?.version ?? -1
    const limitOf = (organisation: string): OperationLimit | undefined =>
      desiredState.current?.organisations.get(organisation)?.limit

    const requesters = createRecentRequesters({ check: homes.check })
    const owner = createOwner(context, (host) => requesters.isRecent(host))
    const pauses = watchProcessPauses()
    const order = createLimitOrder({ registry, pauses })
    desiredState.onChange(({ organisations }) => order.retain(organisations))
    const grantHere = (organisation: string, wanted: number): Grant | undefined => {
      const grant = owner.grant(organisation, wanted, order.ownershipOf(organisation))
      if (grant !== undefined && grant.granted < wanted) {
        requesters.checkSilent(registry.peers())
      }
      return grant
    }
    const ask = createLimitQuestions({
      registry, homes, links, logger, count, version, orderOf: order.of, grantHere
    })
    handle('limit-take', async (body, link) => {
      requesters.record(link.host)
      return await answerLimitQuestion(body, { grantHere, version, reach: desiredState.reach })
    })
    metrics.registerGauge(
      'worksward_limit_granted', 'Operations granted by this host as the one that keeps limits',
      () => grantedByOrganisation(owner.owned()))

    return {
      service: serviceOf(createPrefetchedGrants({ ask, limitOf }), limitOf),
      dump: () => Object.fromEntries([...owner.owned()].map(([name, owned]) => [name, { ...owned, ...limitOf(name) }])),
      close: pauses.close
    }
  }
})

function createOwner ({ use, settings }: PluginContext, isRecentRequester: (host: string) => boolean): LimitOwner {
  const registry = use('registry')
  const homes = use('homes')
  const desiredState = use('desiredState')
  return createLimitOwner({
    desiredState: () => desiredState.current,
    counting: () => (settings as EntrySettings).limits,
    seenPart: () => seenPartOf(registry.peers().map((host) => ({
      reachability: homes.reachability(host), isRecentRequester: isRecentRequester(host.name)
    })))
  })
}

/** Organisations without a limit take nothing. */
function serviceOf (
  grants: PrefetchedGrants, limitOf: (organisation: string) => OperationLimit | undefined
): Limits {
  return {
    take: async ({ name, limit }) => {
      if (limit !== undefined) {
        await grants.take(name)
      }
    },
    giveBack: ({ name, limit }) => {
      if (limit !== undefined) {
        grants.giveBack(name)
      }
    },
    countAgain: (name) => {
      if (limitOf(name) !== undefined) {
        grants.countAgain(name)
      }
    }
  }
}
