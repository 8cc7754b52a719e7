import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countHomes, homesOf, type PlaceableHost } from '../../src/placement/upstream-homes.ts'

const DOMAINS = ['a', 'b', 'c']
/** Number of statements that an upstream runs concurrently. */
const SLOTS = 3
const createHosts = (count: number): PlaceableHost[] =>
  Array.from({ length: count }, (_, index) => ({ name: `host-${index}`, failureDomain: DOMAINS[index % 3]! }))
const namesOf = (hosts: PlaceableHost[]): string[] => hosts.map(({ name }) => name)

describe('the homes of an upstream', () => {
  it('are few when its cap is small, and all hosts when there are fewer than that', () => {
    expect(countHomes(16, SLOTS, 7)).toEqual(2)
    expect(countHomes(53, SLOTS, 4)).toEqual(4)
    expect(countHomes(5, SLOTS, 1)).toEqual(1)
    expect(countHomes(5, SLOTS, 0)).toEqual(0)
  })

  it('are bounded by its slots when its cap is large', () => {
    expect(countHomes(88, 3, 195)).toEqual(4)
    expect(countHomes(88, 2, 195)).toEqual(3)
    expect(countHomes(88, 8, 195)).toEqual(9)
  })

  it('do not depend on the order of hosts', () => {
    const hosts = createHosts(71)
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    expect(namesOf(homesOf(upstream, hosts, 53))).toEqual(namesOf(homesOf(upstream, hosts.toReversed(), 53)))
  })

  it('are in its failure domain when that has enough hosts, and in others when it has none', () => {
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    const near = homesOf(upstream, createHosts(71), 53)
    expect(near.map(({ failureDomain }) => failureDomain)).toEqual(Array.from({ length: 4 }, () => 'b'))
    const others = createHosts(71).filter(({ failureDomain }) => failureDomain !== 'b')
    expect(homesOf(upstream, others, 53).length).toEqual(4)
  })

  it('are otherwise unchanged when one of them is gone', () => {
    const hosts = createHosts(71)
    const upstream = { upstream: 'u', failureDomain: 'b', slots: SLOTS }
    const before = namesOf(homesOf(upstream, hosts, 53))
    const after = namesOf(homesOf(upstream, hosts.filter(({ name }) => name !== before[2]), 53))
    expect(after.slice(0, 3)).toEqual(before.filter((name) => name !== before[2]))
  })

  it('are spread over the hosts when there are many upstreams', () => {
    const hosts = createHosts(72)
    const homeCounts = new Map<string, number>()
    for (let number = 0; number < 180; number++) {
      for (const { name } of homesOf({ upstream: `u-${number}`, failureDomain: DOMAINS[number % 3]!, slots: 5 }, hosts, 53)) {
        homeCounts.set(name, (homeCounts.get(name) ?? 0) + 1)
      }
    }
    // The average is 15.
    expect(Math.max(...homeCounts.values()) < 30).toEqual(true)
    expect(homeCounts.size).toEqual(72)
  })
})
