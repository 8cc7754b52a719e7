import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { capacityOf, unitsOf } from '../../src/placement/capacity.ts'
import { homesOf, orderByScore, orderByWeight, placeHomes, type PlaceableHost } from '../../src/placement/upstream-homes.ts'

const DOMAINS = ['a', 'b', 'c']
const STRONG = capacityOf({ coreShare: 0.27, cores: 5, linkMbps: 140 })!

/** Builds hosts of which the first six are strong; rows without a capacity are those of older releases. */
function createHosts (count: number, weak: (index: number) => number | undefined): PlaceableHost[] {
  return Array.from({ length: count }, (_, index) =>
    ({ name: `host-${index}`, failureDomain: DOMAINS[index % 3]!, capacity: index < 6 ? STRONG : weak(index) }))
}

const PARCELS = createHosts(58, () => capacityOf({ cores: 0.324, linkMbps: 7 }))
const ORDERS = createHosts(27, (index) => capacityOf({ cores: 0.78 + index % 4 / 100, linkMbps: 7 }))
const namesOf = (hosts: PlaceableHost[]): string[] => hosts.map(({ name }) => name)
const upstreamOf = (number: number, slots: number) =>
  ({ upstream: `u-${number}`, failureDomain: DOMAINS[number % 3]!, slots })

/** Ratio of the highest and the lowest work per unit of capacity over hosts, when all upstreams have the same work. */
function spreadOfWork (hosts: PlaceableHost[], slots: number, cap: number): number {
  const work = new Map(hosts.map(({ name }) => [name, 0]))
  for (let number = 0; number < 9000; number++) {
    const { homes, shares } = placeHomes(upstreamOf(number, slots), hosts, cap)
    homes.forEach(({ name }) => work.set(name, work.get(name)! + (shares?.get(name) ?? 1) / homes.length))
  }
  const perUnit = hosts.map((host) => work.get(host.name)! / unitsOf(host))
  return Math.max(...perUnit) / Math.min(...perUnit)
}

describe('placement by capacity', () => {
  it('takes the smaller of cores and link as the capacity, which is unknown if nothing is set', () => {
    expect([
      { coreShare: 0.27, cores: 5, linkMbps: 140 }, { cores: 0.324, linkMbps: 7 }, { cores: 4, linkMbps: 7 },
      { coreShare: 0.5 }, { linkMbps: 100 }, { coreShare: 0.01, cores: 1 }, {}
    ].map(capacityOf)).toEqual([1.35, 0.32, 1.4, 0.5, 1, 0.05, undefined])
  })

  for (const { fleet, hosts, slots, cap } of [
    { fleet: 'parcel ledger', hosts: PARCELS, slots: 5, cap: 56 },
    { fleet: 'restaurant orders', hosts: ORDERS, slots: 4, cap: 46 }
  ]) {
    it(`gives hosts of ${fleet} work per unit within 20%, also when all strong ones are lost`, () => {
      expect(spreadOfWork(hosts, slots, cap) < 1.2).toEqual(true)
      expect(spreadOfWork(hosts.slice(6), slots, cap) < 1.2).toEqual(true)
    })

    it(`moves only the work of a host of ${fleet} that is lost or has changed`, () => {
      for (const changed of [hosts[0]!, hosts[20]!]) {
        const lost = hosts.filter((host) => host !== changed)
        const weaker = hosts.map((host) => host === changed ? { ...host, capacity: unitsOf(host) / 2 } : host)
        for (let number = 0; number < 300; number++) {
          const othersAt = (among: PlaceableHost[]): string[] =>
            namesOf(homesOf(upstreamOf(number, slots), among, cap)).filter((name) => name !== changed.name)
          const kept = othersAt(hosts)
          expect([lost, weaker].map((among) => othersAt(among).slice(0, kept.length))).toEqual([kept, kept])
          const owners = [hosts, lost, weaker].map((among) => orderByWeight(`o${number}`, among, unitsOf)[0]!.name)
          expect(owners[0] === changed.name || new Set(owners).size === 1).toEqual(true)
        }
      }
    })

    it(`chooses owners of limits on hosts of ${fleet} in proportion`, () => {
      const owners = Array.from({ length: 4000 }, (_, index) => orderByWeight(`o${index}`, hosts, unitsOf)[0]!)
      const units = hosts.reduce((sum, host) => sum + unitsOf(host), 0)
      const ofStrong = owners.filter(({ capacity }) => capacity === STRONG).length / owners.length
      expect(Math.abs(ofStrong / (6 * STRONG / units) - 1) < 0.1).toEqual(true)
    })
  }

  it('counts rows of older releases as one unit', () => {
    const mixed = createHosts(27, (index) => index % 2 === 0 ? undefined : 0.5)
    const explicit = mixed.map((host) => ({ ...host, capacity: unitsOf(host) }))
    const [{ homes, shares }, other] = [mixed, explicit].map((hosts) => placeHomes(upstreamOf(1, 4), hosts, 46)) as
      [ReturnType<typeof placeHomes>, ReturnType<typeof placeHomes>]
    expect([namesOf(homes as PlaceableHost[]), shares]).toEqual([namesOf(other.homes as PlaceableHost[]), other.shares])
  })

  // Another order would move all homes and owners of deployments whose hosts are alike.
  it('keeps the order of the hash where all capacities are equal or unknown', () => {
    const hashOf = (key: string, { name }: PlaceableHost): string =>
      createHash('sha256').update(`${key}\0${name}`).digest('hex')
    for (const capacity of [undefined, 0.32, 7]) {
      const hosts = PARCELS.map((host) => ({ ...host, capacity }))
      for (let number = 0; number < 100; number++) {
        const placed = upstreamOf(number, 5)
        const byHash = hosts.toSorted((left, right) =>
          hashOf(placed.upstream, left) > hashOf(placed.upstream, right) ? -1 : 1)
        expect(orderByWeight(placed.upstream, hosts, unitsOf)).toEqual(byHash)
        expect(orderByScore(placed.upstream, hosts)).toEqual(byHash)
        const near = byHash.filter(({ failureDomain }) => failureDomain === placed.failureDomain)
        expect(placeHomes(placed, hosts, 56)).toEqual({ homes: near.slice(0, 6) })
      }
    }
  })
})
