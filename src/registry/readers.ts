/**
 * Which hosts read the store for all. The others ask one of them, so that calls to the store grow with a fraction of
 * the hosts only.
 */
import { createHash } from 'node:crypto'
import type { KnownHost } from './snapshot.ts'

/** Hosts that one reader serves: each asks it 1.3 times a second, with some hundred bytes. */
export const HOSTS_PER_READER = 25
/**
 * Least number of hosts that follow the tables of the store by themselves. Open connections may go silent for good, and
 * a question for changes hangs on one for long; of eight that are hit by halves one goes on in 99.6% of all cases, and
 * tells the others.
 */
export const LEAST_FOLLOWERS = 8

/** Hosts in the order in which they become readers, by the list that they were ordered from. */
const orders = new WeakMap<KnownHost[], KnownHost[]>()

/** Orders hosts in a way that all compute alike and that does not follow failure domains, but for the first of each. */
function orderOf (hosts: KnownHost[]): KnownHost[] {
  const known = orders.get(hosts)
  if (known !== undefined) {
    return known
  }
  const ordered = hosts
    .map((host) => ({ host, place: hashOf(host.name) }))
    .sort((left, right) => left.place < right.place ? -1 : 1)
    .map(({ host }) => host)
  orders.set(hosts, ordered)
  return ordered
}

/**
 * Names the first hosts in the order. With enough of them each failure domain gets its own: bytes between failure
 * domains are paid for.
 */
function firstOf (hosts: KnownHost[], count: number): KnownHost[] {
  const ordered = orderOf(hosts)
  const domains = new Set(ordered.map(({ failureDomain }) => failureDomain))
  if (count < domains.size) {
    return ordered.slice(0, count)
  }
  const first = [...domains].map((domain) => ordered.find(({ failureDomain }) => failureDomain === domain)!)
  return [...first, ...ordered.filter((host) => !first.includes(host))].slice(0, count)
}

/**
 * Names the readers of the registry.
 *
 * @param hosts - hosts that have not been given up
 * @returns the readers
 */
export function readersOf (hosts: KnownHost[]): KnownHost[] {
  return firstOf(hosts, Math.ceil(hosts.length / HOSTS_PER_READER))
}

/**
 * Names the hosts that follow the tables of the store by themselves; the readers are among them.
 *
 * @param hosts - hosts that have not been given up
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
 * @param hosts - hosts that have not been given up
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
 * Names the reader that a host asks first; the host itself when it is one.
 *
 * @param name - the host
 * @param hosts - hosts that have not been given up
 * @returns the reader; undefined when there is no host
 */
export function readerFor (name: string, hosts: KnownHost[]): KnownHost | undefined {
  return orderFor(name, hosts, readersOf(hosts))[0]
}

function hashOf (name: string): string {
  return createHash('sha256').update(name).digest('hex')
}

/** Spreads names evenly over a number of places. */
function placeOf (name: string, places: number): number {
  return places === 0 ? 0 : Number.parseInt(hashOf(name).slice(0, 8), 16) % places
}
