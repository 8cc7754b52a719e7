import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { capacityOf, unitsOf } from '../../src/placement/capacity.ts'
import {
  homesOf, orderByScore, orderByWeight, placeHomes, type PlaceableHost
} from '../../src/placement/upstream-homes.ts'

const DOMAINS = ['a', 'b', 'c']
const STRONG = capacityOf({ coreShare: 0.27, cores: 5, linkMbps: 140 })!

/** Builds hosts of which the first six are strong; rows without a capacity are those of older releases. */
function createHosts (count: number, weak: (index: number) => number | undefined): PlaceableHost[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `host-${index}`, failureDomain: DOMAINS[index % 3]!, capacity: index < 6 ? STRONG : weak(index)
  }))
}

const FLEETS = [
  { fleet: 'parcel ledger', hosts: createHosts(58, () => capacityOf({ cores: 0.324, linkMbps: 7 })), slots: 5, cap: 56 },
  {
    fleet: 'restaurant orders',
    hosts: createHosts(27, (index) => capacityOf({ cores: 0.78 + index % 4 / 100, linkMbps: 7 })),
    slots: 4,
    cap: 46
  }
]
const namesOf = (hosts: PlaceableHost[]): string[] => hosts.map(({ name }) => name)
const upstreamOf = (number: number, slots: number) =>
  ({ upstream: `u-${number}`, failureDomain: DOMAINS[number % 3]!, slots })

/** Computes the work per unit of capacity of each host, relative to the mean, when all upstreams have the same work. */
function workPerUnit (hosts: PlaceableHost[], slots: number, cap: number, upstreams = 9000): number[] {
  const work = new Map<string, number>()
  for (let number = 0; number < upstreams; number++) {
    const { homes, shares } = placeHomes(upstreamOf(number, slots), hosts, cap)
    homes.forEach(({ name }) => work.set(name, (work.get(name) ?? 0) + (shares?.get(name) ?? 1) / homes.length))
  }
  const mean = upstreams / hosts.reduce((sum, host) => sum + unitsOf(host), 0)
  return hosts.map((host) => (work.get(host.name) ?? 0) / unitsOf(host) / mean)
}

describe('the capacity of a host', () => {
  it('is the smaller of its cores and of what its link carries, in hundredths, and unknown if nothing is set', () => {
    expect([
      capacityOf({ coreShare: 0.27, cores: 5, linkMbps: 140 }), capacityOf({ cores: 0.324, linkMbps: 7 }),
      capacityOf({ cores: 4, linkMbps: 7 }), capacityOf({ coreShare: 0.5 }), capacityOf({ linkMbps: 100 }),
      capacityOf({ coreShare: 0.01, cores: 1 }), capacityOf({})
    ]).toEqual([1.35, 0.32, 1.4, 0.5, 1, 0.05, undefined])
  })
})

describe('placement by capacity', () => {
  for (const { fleet, hosts, slots, cap } of FLEETS) {
    describe(`on the hosts of ${fleet}`, () => {
      const homesAt = (number: number, among: PlaceableHost[]): string[] =>
        namesOf(homesOf(upstreamOf(number, slots), among, cap))

      it('gives each host work in proportion to its capacity, within 20% over all hosts', () => {
        const work = workPerUnit(hosts, slots, cap)
        expect(Math.max(...work) / Math.min(...work) < 1.2).toEqual(true)
      })

      it('gives the work of lost strong hosts to the others in proportion', () => {
        const work = workPerUnit(hosts.slice(6), slots, cap)
        expect(Math.max(...work) / Math.min(...work) < 1.2).toEqual(true)
      })

      it('moves only the work of a host that is lost or has changed', () => {
        for (const changed of [hosts[0]!, hosts[20]!]) {
          const lost = hosts.filter((host) => host !== changed)
          const weaker = hosts.map((host) => host === changed ? { ...host, capacity: unitsOf(host) / 2 } : host)
          for (let number = 0; number < 300; number++) {
            const kept = homesAt(number, hosts).filter((name) => name !== changed.name)
            const keptBy = (among: PlaceableHost[]): string[] =>
              homesAt(number, among).filter((name) => name !== changed.name).slice(0, kept.length)
            expect([keptBy(lost), keptBy(weaker)]).toEqual([kept, kept])
          }
          const ownerOf = (key: string, among: PlaceableHost[]): string => orderByWeight(key, among, unitsOf)[0]!.name
          const keys = Array.from({ length: 300 }, (_, index) => `o${index}`)
          expect(keys.filter((key) => ownerOf(key, lost) !== ownerOf(key, hosts)))
            .toEqual(keys.filter((key) => ownerOf(key, hosts) === changed.name))
        }
      })

      it('chooses owners of limits in proportion to their capacity', () => {
        const owned = Array.from({ length: 4000 }, (_, index) => orderByWeight(`o${index}`, hosts, unitsOf)[0]!)
        const units = hosts.reduce((sum, host) => sum + unitsOf(host), 0)
        const ofStrong = owned.filter(({ capacity }) => capacity === STRONG).length / owned.length
        expect(Math.abs(ofStrong / (6 * STRONG / units) - 1) < 0.1).toEqual(true)
      })
    })
  }

  it('counts rows of older releases as one unit', () => {
    const mixed = createHosts(27, (index) => index % 2 === 0 ? undefined : 0.5)
    const explicit = mixed.map((host) => ({ ...host, capacity: unitsOf(host) }))
    const placed = (hosts: PlaceableHost[]) => FLEETS.map(({ slots, cap }, number) => {
      const { homes, shares } = placeHomes(upstreamOf(number, slots), hosts, cap)
      return { homes: namesOf(homes), shares }
    })
    expect(placed(mixed)).toEqual(placed(explicit))
  })

  // Another order would move all homes and owners of deployments whose hosts are alike.
  it('keeps the order of the hash where all capacities are equal or unknown', () => {
    const hashOf = (key: string, name: string): string => createHash('sha256').update(`${key}\0${name}`).digest('hex')
    for (const capacity of [undefined, 0.32, 7]) {
      const hosts = createHosts(58, () => undefined).map((host) => ({ ...host, capacity }))
      for (let number = 0; number < 100; number++) {
        const upstream = upstreamOf(number, 5)
        const isNear = ({ failureDomain }: PlaceableHost): boolean => failureDomain === upstream.failureDomain
        const byHash = (key: string): string[] =>
          namesOf(hosts).sort((left, right) => hashOf(key, left) > hashOf(key, right) ? -1 : 1)
        expect(namesOf(orderByWeight(`o${number}`, hosts, unitsOf))).toEqual(byHash(`o${number}`))
        expect(namesOf(orderByScore(`o${number}`, hosts))).toEqual(byHash(`o${number}`))
        const near = byHash(upstream.upstream).filter((name) => isNear(hosts.find((host) => host.name === name)!))
        expect(placeHomes(upstream, hosts, 56)).toEqual({
          homes: near.slice(0, 6).map((name) => hosts.find((host) => host.name === name)!)
        })
      }
    }
  })

  it('gives homes shares in proportion to their capacity where every host is a home', () => {
    const { shares } = placeHomes(upstreamOf(0, 5), createHosts(3, () => 1).map((host, index) =>
      ({ ...host, failureDomain: 'a', capacity: [1, 2, 3][index] })), 56)
    expect([...shares!].sort()).toEqual([['host-0', 0.5], ['host-1', 1], ['host-2', 1.5]])
  })
})
