/**
 * Which hosts read the registry from the store for all. The others ask one of them, so that calls to the store grow
 * with a fraction of the hosts only.
 */
import { createHash } from 'node:crypto'
import type { KnownHost } from './snapshot.ts'

/** Hosts that one reader serves: each asks it 1.3 times a second, with some hundred bytes. */
export const HOSTS_PER_READER = 25

/**
 * Names the readers: the first hosts in an order that all hosts compute alike and that does not follow failure domains.
 *
 * @param hosts - hosts that have not been given up
 * @returns the readers
 */
export function readersOf (hosts: KnownHost[]): KnownHost[] {
  const ordered = hosts
    .map((host) => ({ host, place: hashOf(host.name) }))
    .sort((left, right) => left.place < right.place ? -1 : 1)
  return ordered.slice(0, Math.ceil(hosts.length / HOSTS_PER_READER)).map(({ host }) => host)
}

/**
 * Names the reader that a host asks; the host itself when it is one.
 *
 * @param name - the host
 * @param hosts - hosts that have not been given up
 * @returns the reader; undefined when there is no host
 */
export function readerFor (name: string, hosts: KnownHost[]): KnownHost | undefined {
  const readers = readersOf(hosts)
  return readers.find((reader) => reader.name === name) ?? readers[placeOf(name, readers.length)]
}

function hashOf (name: string): string {
  return createHash('sha256').update(name).digest('hex')
}

/** Spreads names evenly over a number of places. */
function placeOf (name: string, places: number): number {
  return places === 0 ? 0 : Number.parseInt(hashOf(name).slice(0, 8), 16) % places
}
