/**
 * Decides which hosts read the store for all, and in which order any other host asks them.
 *
 * - Inputs: the live hosts with their names and failure domains, and the name of the host that asks.
 * - Rule: hosts are ordered by a hash of their names. One in {@link HOSTS_PER_READER} reads the registry; the same
 *   ones and at least {@link LEAST_FOLLOWERS} follow the tables. With enough of them each failure domain has its own.
 *   A host asks those of its failure domain first, starting at a place by the hash of its name, then the deputies:
 *   followers that read the registry while its readers can't.
 * - Why: calls to the store grow with a fraction of the hosts only, all hosts compute the same without agreement, and
 *   bytes between failure domains are priced.
 */
import { createHash } from 'node:crypto'
import type { KnownHost } from './snapshot.ts'

/** Hosts that one reader serves: each asks it 1.3 times a second, with some hundred bytes. */
export const HOSTS_PER_READER = 25
/**
 * Least number of hosts that follow the tables of the store. Open connections may go silent for good, and a question
 * for changes hangs on one for long; when each of eight is hit with a probability of one half, one goes on in 99.6% of
 * all cases, and notifies the others.
 */
export const LEAST_FOLLOWERS = 8

/** Orders in which hosts become readers. */
interface ReaderOrders {
  /** One that all compute alike and that does not follow failure domains. */
  ordered: KnownHost[]
  /** The same, after the first host of each failure domain. */
  spread: KnownHost[]
  failureDomains: number
}

/** Orders by the list that they were made from: they are looked up several times in each turn. */
const orders = new WeakMap<KnownHost[], ReaderOrders>()

function ordersOf (hosts: KnownHost[]): ReaderOrders {
  const known = orders.get(hosts) ?? orderHosts(hosts)
  orders.set(hosts, known)
  return known
}

function orderHosts (hosts: KnownHost[]): ReaderOrders {
  const ordered = hosts
    .map((host) => ({ host, place: hashOf(host.name) }))
    .sort((left, right) => left.place < right.place ? -1 : 1)
    .map(({ host }) => host)
  const domains = new Set(ordered.map(({ failureDomain }) => failureDomain))
  const first = [...domains].map((domain) => ordered.find(({ failureDomain }) => failureDomain === domain)!)
  const spread = [...first, ...ordered.filter((host) => !first.includes(host))]
  return { ordered, spread, failureDomains: domains.size }
}

/**
 * Names the first hosts in the order. With enough of them each failure domain gets its own: bytes between failure
 * domains are paid for.
 */
function firstOf (hosts: KnownHost[], count: number): KnownHost[] {
  const { ordered, spread, failureDomains } = ordersOf(hosts)
  return (count < failureDomains ? ordered : spread).slice(0, count)
}

/**
 * Names the readers of the registry.
 *
 * @param hosts - hosts that are not retired
 * @returns the readers
 */
export function readersOf (hosts: KnownHost[]): KnownHost[] {
  return firstOf(hosts, Math.ceil(hosts.length / HOSTS_PER_READER))
}

/**
 * Names the hosts that follow the tables of the store; the readers are among them.
 *
 * @param hosts - hosts that are not retired
 * @returns these hosts
 */
export function followersOf (hosts: KnownHost[]): KnownHost[] {
  return firstOf(hosts, Math.min(hosts.length, Math.max(LEAST_FOLLOWERS, Math.ceil(hosts.length / HOSTS_PER_READER))))
}

/**
 * Orders the hosts that a host asks for what they have read: its own one first, which is in its failure domain where
 * there is one, then the others. The host itself comes first when it reads the store.
 *
 * @param name - the host
 * @param hosts - hosts that are not retired
 * @param serving - those of them that read the store
 * @returns these, in the order in which they are asked
 */
export function orderFor (name: string, hosts: KnownHost[], serving: KnownHost[]): KnownHost[] {
  const domain = hosts.find((host) => host.name === name)?.failureDomain
  const rotated = (group: KnownHost[]): KnownHost[] => {
    const place = placeOf(name, group.length)
    return [...group.slice(place), ...group.slice(0, place)]
  }
  const others = serving.filter((host) => host.name !== name)
  const own = serving.filter((host) => host.name === name)
  const isNear = ({ failureDomain }: KnownHost): boolean => failureDomain === domain
  return [...own, ...rotated(others.filter(isNear)), ...rotated(others.filter((host) => !isNear(host)))]
}

/**
 * Orders the hosts that a host asks for the registry: the readers, then their deputies. Deputies are followers that
 * read when readers can't. A deputy asks only those before itself, so that one reads for all, unless the store rejects
 * it: it then reads for nobody.
 *
 * @param name - the host
 * @param hosts - hosts that are not retired
 * @param isRejected - whether the store has rejected the last read of this host
 * @returns the others that may have read the registry, in the order in which they are asked
 */
export function registrySourcesFor (name: string, hosts: KnownHost[], isRejected: boolean): KnownHost[] {
  const readers = readersOf(hosts)
  const followers = followersOf(hosts)
  const place = followers.findIndex((host) => host.name === name)
  const isReader = readers.some((reader) => reader.name === name)
  const deputies = isRejected || isReader || place < 0 ? followers : followers.slice(0, place)
  const sources = [...orderFor(name, hosts, readers), ...deputies]
  return [...new Set(sources)].filter((source) => source.name !== name)
}

function hashOf (name: string): string {
  return createHash('sha256').update(name).digest('hex')
}

/** Spreads names evenly over a number of places. */
function placeOf (name: string, places: number): number {
  return places === 0 ? 0 : Number.parseInt(hashOf(name).slice(0, 8), 16) % places
}
