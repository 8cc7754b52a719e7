import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countHomes, homesOf, type PlaceableHost } from '../../src/placement/upstream-homes.ts'

const DOMAINS = ['a', 'b', 'c']
/** Statements that an upstream runs at a time. */
const SLOTS = 3
const hostsNamed = (count: number): PlaceableHost[] =>
  Array.from({ length: count }, (_, index) => ({ name: `host-${index}`, failureDomain: DOMAINS[index % 3]! }))
const namesOf = (hosts: PlaceableHost[]): string[] => hosts.map(({ name }) => name)

describe('the homes of an upstream', () => {
  it('are few where its cap is small, and all hosts where there is room for all', () => {
    expect(countHomes(16, SLOTS, 7)).toEqual(2)
    expect(countHomes(53, SLOTS, 4)).toEqual(4)
    expect(countHomes(5, SLOTS, 1)).toEqual(1)
    expect(countHomes(5, SLOTS, 0)).toEqual(0)
  })

  it('are no more than its slots can use, however large its cap', () => {
    expect(countHomes(88, 3, 195)).toEqual(4)
    expect(countHomes(88, 2, 195)).toEqual(3)
    expect(countHomes(88, 8, 195)).toEqual(9)
  })

  it('are the same for all hosts, in whatever order they know each other', () => {
    const hosts = hostsNamed(71)
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    expect(namesOf(homesOf(upstream, hosts, 53))).toEqual(namesOf(homesOf(upstream, hosts.toReversed(), 53)))
  })

  it('are in its failure domain while that has hosts enough, and elsewhere when it has none', () => {
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    const near = homesOf(upstream, hostsNamed(71), 53)
    expect(near.map(({ failureDomain }) => failureDomain)).toEqual(Array.from({ length: 4 }, () => 'b'))
    const others = hostsNamed(71).filter(({ failureDomain }) => failureDomain !== 'b')
    expect(homesOf(upstream, others, 53).length).toEqual(4)
  })

  it('stay where they are when another host goes', () => {
    const hosts = hostsNamed(71)
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    const before = namesOf(homesOf(upstream, hosts, 53))
    const after = namesOf(homesOf(upstream, hosts.filter(({ name }) => name !== before[2]), 53))
    expect(after.slice(0, 3)).toEqual(before.filter((name) => name !== before[2]))
  })

  it('spread over the hosts when there are many upstreams', () => {
    const hosts = hostsNamed(72)
    const taken = new Map<string, number>()
    for (let number = 0; number < 180; number++) {
      for (const { name } of homesOf({ upstream: `u-${number}`, failureDomain: DOMAINS[number % 3]!, slots: 5 }, hosts, 53)) {
        taken.set(name, (taken.get(name) ?? 0) + 1)
      }
    }
    // 15 on average.
    expect(Math.max(...taken.values()) < 30).toEqual(true)
    expect(taken.size).toEqual(72)
  })
})
