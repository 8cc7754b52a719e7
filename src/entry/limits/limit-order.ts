/**
 * Who owns the limit of an organisation, who is its deputy, and since when that cannot have been another host.
 *
 * Inputs: the list of live hosts, which of them are leaving, pauses of this process. Rule: the order of hosts by
 * rendezvous hashing for the organisation, those that are leaving left out unless all are; the first owns the limit,
 * and each further one is a deputy while those before it do not answer. No other host can have owned it since the list
 * last changed and since this process last was paused. Why: hosts that know the same list find the same owner without a
 * message.
 */
import { orderByScore } from '../../placement/upstream-homes.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { Ownership } from './limit-owner.ts'
import type { ProcessPauseWatch } from './process-pauses.ts'

/** Options of {@link createLimitOrder}. */
interface LimitOrderOptions {
  registry: Pick<Registry, 'current' | 'self' | 'onChange'>
  pauses: Pick<ProcessPauseWatch, 'runningSince'>
}

/** The order of hosts for limits. */
interface LimitOrder {
  /** Hosts in the order in which they own an organisation's limit. */
  of: (organisation: string) => KnownHost[]
  /** What entitles this host to grant an organisation's limit. */
  ownershipOf: (organisation: string) => Ownership
  /** Drops the orders of organisations that are no longer declared. */
  retain: (organisations: { has: (name: string) => boolean }) => void
}

/**
 * Creates the order.
 *
 * @param options - the list of hosts, and pauses of this process
 * @returns the order
 */
export function createLimitOrder ({ registry, pauses }: LimitOrderOptions): LimitOrder {
  /** Orders that were computed, and the list that each was made from. */
  const orders = new Map<string, { liveHosts: KnownHost[], order: KnownHost[] }>()
  /** Since when the list of hosts is as it is. */
  let listedSince = performance.now()
  let { liveHosts: listed } = registry.current
  registry.onChange(() => {
    if (registry.current.liveHosts !== listed) {
      listed = registry.current.liveHosts
      listedSince = performance.now()
    }
  })
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
  return {
    of: orderOf,
    ownershipOf: (organisation) => ({
      isFirst: orderOf(organisation)[0]?.name === registry.self.name,
      exclusiveSince: Math.max(listedSince, pauses.runningSince)
    }),
    retain: (organisations) => {
      [...orders.keys()].filter((name) => !organisations.has(name)).forEach((name) => orders.delete(name))
    }
  }
}
