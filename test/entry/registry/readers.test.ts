import { describe, it } from 'node:test'
import { expect } from 'earl'
import { followersOf, HOSTS_PER_READER, orderFor, readersOf, registrySourcesFor } from '../../../src/entry/registry/readers.ts'
import { createSnapshot, type KnownHost } from '../../../src/entry/registry/snapshot.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

const NAMES = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
const hostsNamed = (names: string[]): KnownHost[] => names.map((name) => ({
  name, version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p'
}))

describe('readers of the registry', () => {
  const suite = setUpWorld(NAMES)
  const reader = (): string => readersOf(hostsNamed(NAMES))[0]!.name
  const others = (): string[] => NAMES.filter((name) => name !== reader())
  const writeOn = async (host: string) => await suite.settle(suite.world.connect(host, 'money').write(), 900)

  it('keep the number of store reads low', async () => {
    const before = suite.world.store.lists('worksward')
    await suite.clock.tickAsync(20_000)
    // One reader reads every 750 ms, and the other hosts every 10 s.
    expect(suite.world.store.lists('worksward') - before < 50).toEqual(true)
    expect((await writeOn(others()[0]!)).failure).toEqual(undefined)
  })

  it('do not block writes on other hosts while a reader is paused', async () => {
    suite.world.silent.add(reader())
    suite.world.store.cutOff.add(reader())
    for (let turn = 0; turn < 8; turn++) {
      expect((await writeOn(others()[turn % others().length]!)).failure).toEqual(undefined)
    }
  })

  it('do not block writes on other hosts while the store rejects a reader', async () => {
    suite.world.store.cutOff.add(reader())
    for (let turn = 0; turn < 8; turn++) {
      expect((await writeOn(others()[turn % others().length]!)).failure).toEqual(undefined)
    }
  })

  it('propagate a failover, so that writes succeed on all hosts soon after it', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    primary.crash()
    await writeOn(others()[0]!)
    await suite.clock.tickAsync(4000)
    for (const host of NAMES) {
      expect((await writeOn(host)).failure).toEqual(undefined)
    }
  })
})

describe('selection of readers', () => {
  const many = Array.from({ length: 2300 }, (_, index) => `host-${index}`)

  it('selects one reader for each HOSTS_PER_READER hosts, rounded up', () => {
    expect(readersOf(hostsNamed(NAMES)).length).toEqual(1)
    expect(readersOf(hostsNamed(many)).length).toEqual(Math.ceil(many.length / HOSTS_PER_READER))
    expect(readersOf([])).toEqual([])
  })

  it('does not depend on the order of the hosts', () => {
    const namesOf = (hosts: KnownHost[]): string[] => readersOf(hosts).map(({ name }) => name)
    expect(namesOf(hostsNamed(many))).toEqual(namesOf(hostsNamed(many.toReversed())))
  })

  it('orders a reader before all others for itself', () => {
    const [first] = readersOf(hostsNamed(NAMES))
    expect(orderFor(first!.name, hostsNamed(NAMES), readersOf(hostsNamed(NAMES)))[0]?.name).toEqual(first!.name)
  })

  it('prefers strong hosts in proportion to their capacity, and keeps one reader for each failure domain', () => {
    const strongOf = (fleet: number): number => {
      const hosts = hostsNamed(Array.from({ length: 58 }, (_, index) => `f${fleet}-${index}`)).map((host, index) =>
        ({ ...host, failureDomain: 'xyz'[index % 3]!, capacity: index < 6 ? 1.35 : 0.32 }))
      expect(new Set(readersOf(hosts).map(({ failureDomain }) => failureDomain)).size).toEqual(3)
      const followers = followersOf(hosts)
      const unchanged = followersOf(hosts.filter(({ name }) => name !== followers[5]!.name))
      expect(unchanged.slice(0, 7)).toEqual(followers.filter((host) => host !== followers[5]))
      return readersOf(hosts).filter(({ capacity }) => capacity === 1.35).length
    }
    const strong = Array.from({ length: 400 }, (_, fleet) => strongOf(fleet)).reduce((sum, count) => sum + count, 0)
    // In each failure domain two strong hosts have 0.33 of the capacity.
    expect(Math.abs(strong / 1200 - 0.33) < 0.04).toEqual(true)
  })

  it('spreads the requests of other hosts over the readers', () => {
    const hosts = hostsNamed(many)
    const requestsByReader = new Map<string, number>()
    for (const name of many.slice(0, 600)) {
      const reader = orderFor(name, hosts, readersOf(hosts))[0]!.name
      requestsByReader.set(reader, (requestsByReader.get(reader) ?? 0) + 1)
    }
    expect(Math.max(...requestsByReader.values()) < 25).toEqual(true)
  })
})

describe('sources of the registry', () => {
  const names = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
  const hosts = hostsNamed(names)
  const followers = followersOf(hosts).map(({ name }) => name)
  const [reader, first, second] = followers
  const sourcesOf = (name: string, isRejected = false): string[] =>
    registrySourcesFor(name, hosts, isRejected).map((source) => source.name)

  it('are the reader, then the other followers', () => {
    const other = names.find((name) => !followers.includes(name))!
    expect(sourcesOf(other)).toEqual(followers)
    expect(sourcesOf(reader!)).toEqual(followers.slice(1))
  })

  it('are the preceding followers for a backup reader, and all other followers while the store rejects it', () => {
    expect(sourcesOf(first!)).toEqual([reader!])
    expect(sourcesOf(second!)).toEqual([reader!, first!])
    expect(sourcesOf(second!, true)).toEqual(followers.filter((name) => name !== second))
  })
})

describe('digest of a snapshot', () => {
  const row = { key: 'host/a', value: JSON.stringify(hostsNamed(['a'])[0]), version: 3 }
  it('depends on the versions of the rows, not on the version of the store', () => {
    const snapshot = createSnapshot([row], 10, 0)
    expect(createSnapshot([row], 11, 5).digest).toEqual(snapshot.digest)
    expect(createSnapshot([{ ...row, version: 4 }], 10, 0).digest === snapshot.digest).toEqual(false)
    expect(createSnapshot([], 10, 0).digest === snapshot.digest).toEqual(false)
  })
})
