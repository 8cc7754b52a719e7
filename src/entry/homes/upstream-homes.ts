/**
 * Which hosts are the homes of each upstream, and whether this host is one. Owns the homes that were computed: they are
 * looked up several times for each statement. Rule: placement/upstream-homes.ts, for the live hosts that are not
 * leaving, or all when all are; none while the upstream's cap is unknown.
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
  /** Homes of an upstream, the best first; none while the upstream's cap is unknown. */
  of: (upstream: KnownUpstream) => KnownHost[]
  /** Whether this host is one of them. */
  isHome: (upstream: KnownUpstream) => boolean
  /** All other hosts that are a home of any upstream. */
  others: () => KnownHost[]
}

/** Homes that were computed, and what from. */
interface ComputedHomes {
  liveHosts: KnownHost[]
  cap: number
  homes: KnownHost[]
}

/**
 * Creates the homes of upstreams.
 *
 * @param options - the live hosts, the caps, and which upstreams are gone
 * @returns the homes
 */
export function createUpstreamHomes ({ registry, desiredState, directory }: UpstreamHomesOptions): UpstreamHomes {
  const computed = new Map<string, ComputedHomes>()
  directory.onChange(({ upstream, change }) => {
    if (change === 'gone') {
      computed.delete(upstream.upstream)
    }
  })
  const isSelf = ({ name }: KnownHost): boolean => name === registry.self.name
  const of = (upstream: KnownUpstream): KnownHost[] => {
    const cap = desiredState.current?.connectionCaps.get(upstream.group)
    const { liveHosts } = registry.current
    if (cap === undefined) {
      return []
    }
    const known = computed.get(upstream.upstream)
    if (known?.liveHosts === liveHosts && known.cap === cap) {
      return known.homes
    }
    const homes = homesOf(upstream, stayingOf(liveHosts), cap)
    computed.set(upstream.upstream, { liveHosts, cap, homes })
    return homes
  }
  return {
    of,
    isHome: (upstream) => of(upstream).some(isSelf),
    others: () => [...new Set([...computed.values()].flatMap(({ homes }) => homes))].filter((home) => !isSelf(home))
  }
}

/** Hosts that are not leaving; all when every one is. */
function stayingOf (hosts: KnownHost[]): KnownHost[] {
  const staying = hosts.filter(({ leaving }) => leaving !== true)
  return staying.length > 0 ? staying : hosts
}
