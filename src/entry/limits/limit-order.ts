/**
 * Determines the owner of each organisation's limit by rendezvous hashing over the live hosts. The first host in the
 * order is the owner; each further one is a fallback owner while all before it are silent. Ownership is exclusive since
 * the last change of the list of hosts or the last pause of this process, whichever is later.
 *
 * The hashing is weighted by capacity once every live host announces one. A host that announces none may run an older
 * release, which orders without weights: two owners would then grant the full limit for as long as both releases run.
 */
import { unitsOf } from '../../placement/capacity.ts'
import { orderByScore, orderByWeight } from '../../placement/upstream-homes.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { createCommonStart } from './common-start.ts'
import type { Ownership } from './limit-owner.ts'
import type { ProcessPauseWatch } from './process-pauses.ts'

/** Options of {@link createOwnerOrder}. */
interface OwnerOrderOptions {
  registry: Pick<Registry, 'current' | 'self' | 'onChange' | 'storeNowAtLeastMs'>
  pauses: Pick<ProcessPauseWatch, 'runningSince'>
}

/** Order in which hosts own the limits. */
interface OwnerOrder {
  /**
   * Hosts that may own an organisation's limit: the owner, then its fallback owners. Hosts that are leaving are left
   * out, unless every host is leaving.
   */
  of: (organisation: string) => KnownHost[]
  /** Position of this host as an owner of an organisation's limit. */
  ownershipOf: (organisation: string) => Ownership
  /** Drops the cached orders of organisations that are no longer declared. */
  retain: (organisations: { has: (name: string) => boolean }) => void
}

/**
 * Creates the order of owners.
 *
 * @param options - the live hosts, and the pauses of this process
 * @returns the order
 */
export function createOwnerOrder ({ registry, pauses }: OwnerOrderOptions): OwnerOrder {
  /** Cached orders, with the list of live hosts that each was computed from. */
  const orders = new Map<string, { liveHosts: KnownHost[], order: KnownHost[] }>()
  /** Time of the last change of the list of live hosts. */
  let hostsChangedAt = performance.now()
  let { liveHosts: knownHosts } = registry.current
  const commonStart = createCommonStart(registry)
  const { runningSince: runningAtFirst } = pauses
  registry.onChange(() => {
    if (registry.current.liveHosts !== knownHosts) {
      knownHosts = registry.current.liveHosts
      hostsChangedAt = performance.now()
    }
  })
  const orderOf = (organisation: string): KnownHost[] => {
    const { liveHosts } = registry.current
    const known = orders.get(organisation)
    if (known?.liveHosts === liveHosts) {
      return known.order
    }
    const staying = liveHosts.filter(({ leaving }) => leaving !== true)
    const candidates = staying.length > 0 ? staying : liveHosts
    const order = liveHosts.every(({ capacity }) => capacity !== undefined)
      ? orderByWeight(organisation, candidates, unitsOf)
      : orderByScore(organisation, candidates)
    orders.set(organisation, { liveHosts, order })
    return order
  }
  return {
    of: orderOf,
    ownershipOf: (organisation) => ({
      isFirst: orderOf(organisation)[0]?.name === registry.self.name,
      exclusiveSince: Math.max(hostsChangedAt, pauses.runningSince),
      // Fallback owners may have granted operations in a pause of this process.
      earlierEndedAt: pauses.runningSince === runningAtFirst ? commonStart.earlierEndedAt() : undefined
    }),
    retain: (organisations) => {
      [...orders.keys()].filter((name) => !organisations.has(name)).forEach((name) => orders.delete(name))
    }
  }
}
