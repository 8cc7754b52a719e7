import { describe, it } from 'node:test'
import { homesOf, orderByScore } from '../../src/placement/upstream-homes.ts'
import { followersOf, orderFor, readersOf } from '../../src/entry/registry/readers.ts'
import type { KnownHost } from '../../src/entry/registry/snapshot.ts'
import { expectGolden } from './golden.ts'

const DOMAINS = ['x', 'y', 'z']

function hostsOf (count: number): KnownHost[] {
  return Array.from({ length: count }, (_, index): KnownHost => ({
    name: `front-${index + 1}`,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    address: '10.1.0.8',
    port: 7440,
    process: `p${index}`,
    version: index + 1
  }))
}

const namesOf = (hosts: KnownHost[]): string[] => hosts.map(({ name }) => name)

/** Placement that each host computes on its own; results must be equal across releases in a mixed deployment. */
describe('placement is compatible across releases', () => {
  const sizes = [1, 3, 9, 71]

  it('for the homes of upstreams', () => {
    expectGolden('agreement-homes', sizes.flatMap((size) => [['i-1', 3, 30], ['i-2', 8, 400], ['', 1, 1]].map((placed) => {
      const [upstream, slots, cap] = placed as [string, number, number]
      return { size, placed, homes: namesOf(homesOf({ upstream, slots, failureDomain: 'y' }, hostsOf(size), cap)) }
    })))
  })

  it('for the hosts that hold limits, in order', () => {
    expectGolden('agreement-limits', sizes.flatMap((size) => ['red', 'blue'].map((organisation) =>
      ({ size, organisation, order: namesOf(orderByScore(organisation, hostsOf(size))) }))))
  })

  it('for the hosts that read the store for others', () => {
    expectGolden('agreement-readers', sizes.map((size) => {
      const hosts = hostsOf(size)
      const asked = hosts.slice(0, 9).map(({ name }) => [name, orderFor(name, hosts, readersOf(hosts))[0]?.name])
      return { size, readers: namesOf(readersOf(hosts)), followers: namesOf(followersOf(hosts)), asked }
    }))
  })
})
