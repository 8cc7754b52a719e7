/**
 * Computes the homes of each upstream and their shares of its statements from the live hosts
 * (placement/upstream-homes.ts) and caches them, since they are looked up several times per statement. Hosts that are
 * leaving are excluded, unless every host is leaving.
 */
import { placeHomes, type PlacedHomes } from '../../placement/upstream-homes.ts'
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
  /** The same, with their shares of its statements. */
  placed: (upstream: KnownUpstream) => PlacedHomes<KnownHost>
  /** Whether this host is a home of an upstream. */
  isHome: (upstream: KnownUpstream) => boolean
  /** Other hosts that are a home of any upstream. */
  others: () => KnownHost[]
}

/** Cached homes of an upstream, and the inputs they were computed from. */
interface ComputedHomes extends PlacedHomes<KnownHost> {
  liveHosts: KnownHost[]
  cap: number
}

const NO_HOMES: PlacedHomes<KnownHost> = { homes: [] }

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
  const placed = (upstream: KnownUpstream): PlacedHomes<KnownHost> => {
    const cap = desiredState.current?.connectionCaps.get(upstream.group)
    const { liveHosts } = registry.current
    if (cap === undefined) {
      return NO_HOMES
    }
    const known = cache.get(upstream.upstream)
    if (known?.liveHosts === liveHosts && known.cap === cap) {
      return known
    }
    const computed = { ...placeHomes(upstream, excludeLeaving(liveHosts), cap), liveHosts, cap }
    cache.set(upstream.upstream, computed)
    return computed
  }
  const of = (upstream: KnownUpstream): KnownHost[] => placed(upstream).homes
  return {
    of,
    placed,
    isHome: (upstream) => of(upstream).some(isSelf),
    others: () => [...new Set([...cache.values()].flatMap(({ homes }) => homes))].filter((home) => !isSelf(home))
  }
}

/** Removes hosts that are leaving; returns all when every host is leaving. */
function excludeLeaving (hosts: KnownHost[]): KnownHost[] {
  const staying = hosts.filter(({ leaving }) => leaving !== true)
  return staying.length > 0 ? staying : hosts
}
