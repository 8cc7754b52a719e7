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
import type { Grant, PriorityRequest } from './limit-frames.ts'
import {
  answerGrantRequest, answerReturn, createGrantRequester, createOperationReturner
} from './limit-questions.ts'
import { createOperationCounts } from './operation-counts.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from './prefetched-grants.ts'
import { watchProcessPauses } from './process-pauses.ts'
import { createRecentRequesters } from './recent-requesters.ts'
import { reachableShareOf } from './seen-part.ts'
import type { OperationRequest } from './waiting-operations.ts'

export type { OperationRequest } from './waiting-operations.ts'

/** Service of the plug-in. */
export interface Limits {
  /**
   * Takes one operation from the limit of an organisation; returns immediately when it has no limit. While the limit is
   * used up the operation waits for its turn, if that comes in time.
   *
   * @param organisation - the organisation
   * @param request - priority and longest wait of the operation
   * @returns the time from which its age counts, on the monotonic clock, in milliseconds
   * @throws RequestError `LimitReached` with verdict `not-run` and the time after which to retry
   */
  take: (organisation: Organisation, request: OperationRequest) => Promise<number>
  /** Refunds an operation that did not run; `takenAt` is the result of `take`. */
  refund: (organisation: Organisation, takenAt: number) => void
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
    const grantLocally = (
      organisation: string, wanted: number, byPriority?: readonly PriorityRequest[]
    ): Grant | undefined => {
      const grant = owner.grant(organisation, wanted, order.ownershipOf(organisation), byPriority)
      if (grant !== undefined && grant.retryAfterMs > 0) {
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
    handle('limit-return', async (body) => await answerReturn(body, owner.credit))
    const operations = createOperationCounts()
    const grants = createPrefetchedGrants({
      requestGrant,
      returnOperations: createOperationReturner({ registry, links, orderOf: order.of, creditLocally: owner.credit }),
      limitOf,
      count: operations.count
    })
    desiredState.onChange(({ organisations }) =>
      [order, owner, grants].forEach(({ retain }) => retain(organisations)))
    metrics.registerGauge(
      'worksward_limit_operations', 'Operations of limits on this host, by outcome', operations.read)
    metrics.registerGauge(
      'worksward_limit_granted', 'Operations granted by this host as the one that keeps limits',
      () => grantedByOrganisation(owner.owned()))

    return {
      service: {
        ...serviceOf(grants, limitOf),
        ownerOf: (organisation) => limitOf(organisation) === undefined ? undefined : order.of(organisation)[0]
      },
      dump: () => Object.fromEntries([...owner.owned()].map(([name, owned]) => [name, { ...owned, ...limitOf(name) }])),
      close: () => {
        pauses.close()
        grants.close()
      }
    }
  }
})

function createOwner (
  { use, settings, logger }: PluginContext, isRecentRequester: (host: string) => boolean
): LimitOwner {
  const registry = use('registry')
  const homes = use('homes')
  const desiredState = use('desiredState')
  return createLimitOwner({
    desiredState: () => desiredState.current,
    counting: () => (settings as EntrySettings).limits,
    onPressure: (organisation, fields) => logger.log('info', 'limit.pressure', { organisation, ...fields }),
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
    take: async ({ name, limit }, request) =>
      limit === undefined ? performance.now() : await grants.take(name, request),
    refund: ({ name, limit }, takenAt) => {
      if (limit !== undefined) {
        grants.refund(name, takenAt)
      }
    },
    countRetry: (name) => {
      if (limitOf(name) !== undefined) {
        grants.countRetry(name)
      }
    }
  }
}
