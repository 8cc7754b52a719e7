/**
 * Selects the hosts that read the store for all others, which keeps the number of calls to the store low. All hosts
 * compute the same selection from a hash of the host names, weighted by capacity. Each host first contacts readers in
 * its failure domain, because traffic between failure domains is charged; followers serve as backup readers.
 */
import { createHash } from 'node:crypto'
import { areEqualInCapacity, unitsOf } from '../../placement/capacity.ts'
import { byScore, fractionOf, unitScoreOf } from '../../placement/rendezvous.ts'
import type { KnownHost } from './snapshot.ts'

/** Number of hosts that one reader of the registry serves; each asks it 1.3 times a second, with some hundred bytes. */
export const HOSTS_PER_READER = 25
/**
 * Minimum number of hosts that follow the tables of the store. More followers bring a change to the others sooner when
 * some long polls hang; that it comes in time rests on the confirmations of the copies (`table-confirmations.ts`).
 */
export const MINIMUM_FOLLOWERS = 8

/** Orders from which readers and followers are selected. */
interface ReaderOrders {
  /** By the hash of the name, weighted by capacity. */
  byHash: KnownHost[]
  /** The first host of each failure domain, then the others in the same order. */
  byDomain: KnownHost[]
  failureDomains: number
}

/** Caches the orders by list of hosts, since each turn needs them several times. */
const cachedOrders = new WeakMap<KnownHost[], ReaderOrders>()

function ordersOf (hosts: KnownHost[]): ReaderOrders {
  const cached = cachedOrders.get(hosts) ?? orderHosts(hosts)
  cachedOrders.set(hosts, cached)
  return cached
}

function orderHosts (hosts: KnownHost[]): ReaderOrders {
  const byHash = areEqualInCapacity(hosts) ? orderByHash(hosts) : orderByWeightedHash(hosts)
  const domains = new Set(byHash.map(({ failureDomain }) => failureDomain))
  const first = [...domains].map((domain) => byHash.find(({ failureDomain }) => failureDomain === domain)!)
  const byDomain = [...first, ...byHash.filter((host) => !first.includes(host))]
  return { byHash, byDomain, failureDomains: domains.size }
}

/** Orders hosts by the hash of the name, lowest first. */
function orderByHash (hosts: KnownHost[]): KnownHost[] {
  return hosts
    .map((host) => ({ host, hash: hashOf(host.name) }))
    .sort((left, right) => left.hash < right.hash ? -1 : 1)
    .map(({ host }) => host)
}

/** Orders hosts by weighted score. The lowest hash has the highest score, as in {@link orderByHash}. */
function orderByWeightedHash (hosts: KnownHost[]): KnownHost[] {
  return hosts
    .map((host) => ({ host, score: unitsOf(host) * unitScoreOf(1 - fractionOf(hashOf(host.name))) }))
    .sort(byScore)
    .map(({ host }) => host)
}

/** Selects the first hosts; if there are enough of them, one for each failure domain. */
function selectFirst (hosts: KnownHost[], count: number): KnownHost[] {
  const { byHash, byDomain, failureDomains } = ordersOf(hosts)
  return (count < failureDomains ? byHash : byDomain).slice(0, count)
}

/**
 * Selects the hosts that read the registry from the store.
 *
 * @param hosts - hosts that are not retired
 * @returns the readers
 */
export function readersOf (hosts: KnownHost[]): KnownHost[] {
  return selectFirst(hosts, Math.ceil(hosts.length / HOSTS_PER_READER))
}

/**
 * Selects the hosts that follow the tables of the store. They include the readers.
 *
 * @param hosts - hosts that are not retired
 * @returns the followers
 */
export function followersOf (hosts: KnownHost[]): KnownHost[] {
  return selectFirst(
    hosts, Math.min(hosts.length, Math.max(MINIMUM_FOLLOWERS, Math.ceil(hosts.length / HOSTS_PER_READER))))
}

/**
 * Orders the hosts that read the store by the preference of one host: itself, those in its failure domain, the others.
 * The hash of its name determines where it starts in each group, which spreads the load.
 *
 * @param name - name of the host
 * @param hosts - hosts that are not retired
 * @param servers - those of `hosts` that read the store
 * @returns `servers`, ordered by preference
 */
export function orderFor (name: string, hosts: KnownHost[], servers: KnownHost[]): KnownHost[] {
  const domain = hosts.find((host) => host.name === name)?.failureDomain
  const rotate = (group: KnownHost[]): KnownHost[] => {
    const offset = offsetOf(name, group.length)
    return [...group.slice(offset), ...group.slice(0, offset)]
  }
  const others = servers.filter((host) => host.name !== name)
  const self = servers.filter((host) => host.name === name)
  const isSameDomain = ({ failureDomain }: KnownHost): boolean => failureDomain === domain
  return [...self, ...rotate(others.filter(isSameDomain)), ...rotate(others.filter((host) => !isSameDomain(host)))]
}

/**
 * Orders the hosts from which a host requests the registry: the readers, then the followers as backup readers. A backup
 * reader contacts only those before it, so that only one of them reads the store. If the store rejects it, it contacts
 * all of them.
 *
 * @param name - name of the host
 * @param hosts - hosts that are not retired
 * @param isRejected - whether the store has rejected the host's last read
 * @returns the other hosts, ordered by preference
 */
export function registrySourcesFor (name: string, hosts: KnownHost[], isRejected: boolean): KnownHost[] {
  const readers = readersOf(hosts)
  const followers = followersOf(hosts)
  const index = followers.findIndex((host) => host.name === name)
  const isReader = readers.some((reader) => reader.name === name)
  const backups = isRejected || isReader || index < 0 ? followers : followers.slice(0, index)
  const sources = [...orderFor(name, hosts, readers), ...backups]
  return [...new Set(sources)].filter((source) => source.name !== name)
}

function hashOf (name: string): string {
  return createHash('sha256').update(name).digest('hex')
}

/** Maps a name to an offset, evenly distributed. */
function offsetOf (name: string, count: number): number {
  return count === 0 ? 0 : Number.parseInt(hashOf(name).slice(0, 8), 16) % count
}
