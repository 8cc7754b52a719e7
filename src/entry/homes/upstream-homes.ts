/**
 * Computes the homes of each upstream from the live hosts (placement/upstream-homes.ts) and caches them, since they are
 * looked up several times per statement. Hosts that are leaving are excluded, unless every host is leaving.
 */
import { homesOf } from '../../placement/upstream-homes.ts'
import type { DesiredStateInForce } from '../desired-state/index.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'

/** Options of {@link createUpstreamHomes}. */
interface UpstreamHomesOptions {
  registry: Pick<Registry, 'current' | 'self'>
  desiredState: Pick<DesiredStateInForce, 'current'>
  directory: Pick<Directory, 'onChange'>
}

/** Homes of upstreams. */
interface UpstreamHomes {
  /** Homes of an upstream, in order of preference; empty while the upstream's cap is unknown. */
  of: (upstream: KnownUpstream) => KnownHost[]
  /** Whether this host is a home of an upstream. */
  isHome: (upstream: KnownUpstream) => boolean
  /** Other hosts that are a home of any upstream. */
  others: () => KnownHost[]
}

/** Cached homes of an upstream, and the inputs they were computed from. */
interface ComputedHomes {
  liveHosts: KnownHost[]
  cap: number
  homes: KnownHost[]
}

/**
 * Creates the lookup of homes.
 *
 * @param options - sources of the live hosts, the caps and the upstreams that are gone
 * @returns the lookup
 */
export function createUpstreamHomes ({ registry, desiredState, directory }: UpstreamHomesOptions): UpstreamHomes {
  const cache = new Map<string, ComputedHomes>()
  directory.onChange(({ upstream, change }) => {
    if (change === 'gone') {
      cache.delete(upstream.upstream)
    }
  })
  const isSelf = ({ name }: KnownHost): boolean => name === registry.self.name
  const of = (upstream: KnownUpstream): KnownHost[] => {
    const cap = desiredState.current?.connectionCaps.get(upstream.group)
    const { liveHosts } = registry.current
    if (cap === undefined) {
      return []
    }
    const known = cache.get(upstream.upstream)
    if (known?.liveHosts === liveHosts && known.cap === cap) {
      return known.homes
    }
    const homes = homesOf(upstream, excludeLeaving(liveHosts), cap)
    cache.set(upstream.upstream, { liveHosts, cap, homes })
    return homes
  }
  return {
    of,
    isHome: (upstream) => of(upstream).some(isSelf),
    others: () => [...new Set([...cache.values()].flatMap(({ homes }) => homes))].filter((home) => !isSelf(home))
  }
}

/** Removes hosts that are leaving; returns all when every host is leaving. */
function excludeLeaving (hosts: KnownHost[]): KnownHost[] {
  const staying = hosts.filter(({ leaving }) => leaving !== true)
  return staying.length > 0 ? staying : hosts
}
