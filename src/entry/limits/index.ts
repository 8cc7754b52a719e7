/**
 * Plug-in `limits`: limits the operations of each organisation across all hosts. Each limit is owned by one host, which
 * all hosts determine in the same way; the others request grants from it before they run operations. README.md lists
 * the modules.
 */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import type { OperationLimit, Organisation } from '../ports/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { grantedByOrganisation } from './granted-metric.ts'
import { createOwnerOrder } from './limit-order.ts'
import { createLimitOwner, type LimitOwner } from './limit-owner.ts'
import { answerGrantRequest, createGrantRequester } from './limit-questions.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from './prefetched-grants.ts'
import { watchProcessPauses } from './process-pauses.ts'
import { createRecentRequesters } from './recent-requesters.ts'
import { reachableShareOf } from './seen-part.ts'
import type { Grant } from './token-bucket.ts'

/** Service of the plug-in. */
export interface Limits {
  /**
   * Takes one operation from the limit of an organisation; returns immediately when it has no limit.
   *
   * @param organisation - the organisation
   * @throws RequestError `LimitReached` with verdict `not-run` and the time after which to retry
   */
  take: (organisation: Organisation) => Promise<void>
  /** Refunds an operation that did not run. */
  refund: (organisation: Organisation) => void
  /** Counts the retry of an operation that may have run. */
  countRetry: (organisation: string) => void
  /** Returns the host that owns the limit of an organisation; undefined if it has no limit or no host is known. */
  ownerOf: (organisation: string) => KnownHost | undefined
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

    const requesters = createRecentRequesters({ probe: homes.probe })
    const owner = createOwner(context, (host) => requesters.isRecent(host))
    const pauses = watchProcessPauses()
    const order = createOwnerOrder({ registry, pauses })
    desiredState.onChange(({ organisations }) => order.retain(organisations))
    const grantLocally = (organisation: string, wanted: number): Grant | undefined => {
      const grant = owner.grant(organisation, wanted, order.ownershipOf(organisation))
      if (grant !== undefined && grant.granted < wanted) {
        requesters.probeSilent(registry.peers())
      }
      return grant
    }
    const requestGrant = createGrantRequester({
      registry, homes, links, logger, count, version, orderOf: order.of, grantLocally
    })
    handle('limit-take', async (body, link) => {
      requesters.record(link.host)
      return await answerGrantRequest(body, { grantLocally, version, reach: desiredState.ensureVersion })
    })
    metrics.registerGauge(
      'worksward_limit_granted', 'Operations granted by this host as the one that keeps limits',
      () => grantedByOrganisation(owner.owned()))

    return {
      service: {
        ...serviceOf(createPrefetchedGrants({ requestGrant, limitOf }), limitOf),
        ownerOf: (organisation) => limitOf(organisation) === undefined ? undefined : order.of(organisation)[0]
      },
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
    reachableShare: () => reachableShareOf(registry.peers().map((host) => ({
      reachability: homes.reachability(host), isRecentRequester: isRecentRequester(host.name)
    })))
  })
}

/** Builds the service, which skips organisations without a limit. */
function serviceOf (
  grants: PrefetchedGrants, limitOf: (organisation: string) => OperationLimit | undefined
): Omit<Limits, 'ownerOf'> {
  return {
    take: async ({ name, limit }) => {
      if (limit !== undefined) {
        await grants.take(name)
      }
    },
    refund: ({ name, limit }) => {
      if (limit !== undefined) {
        grants.refund(name)
      }
    },
    countRetry: (name) => {
      if (limitOf(name) !== undefined) {
        grants.countRetry(name)
      }
    }
  }
}
