import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { followersOf, MINIMUM_FOLLOWERS, orderFor } from '../../../src/entry/registry/readers.ts'
import type { KnownHost } from '../../../src/entry/registry/snapshot.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const NAMES = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
const HOSTS: KnownHost[] = NAMES.map((name) => ({
  name, version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p'
}))
const FOLLOWERS = followersOf(HOSTS).map(({ name }) => name)
const OTHERS = NAMES.filter((name) => !FOLLOWERS.includes(name))
/** Required time for a desired state to be in force on all hosts, in milliseconds. */
const IN_FORCE_MS = 3000
const MORE = [MONEY, { ...MONEY, database: 'more' }]

describe('a table change with few followers', () => {
  const suite = setUpWorld(NAMES)
  const versions = () => NAMES.map((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version)
  const allHaveVersion = (version: number) => versions().every((known) => known === version)
  const calls = () => suite.world.store.calls

  it('reaches all hosts, with store calls by the followers only', async () => {
    await suite.clock.tickAsync(30_000)
    const before = calls()
    suite.world.configure(MORE)
    await suite.clock.tickAsync(400)
    expect(allHaveVersion(2)).toEqual(true)
    // Each follower receives an answer and sends the next request; the reader continues to read the registry.
    expect(calls() - before <= 2 * MINIMUM_FOLLOWERS).toEqual(true)
  })

  it('reaches hosts whose follower is paused', async () => {
    const follower = orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name
    suite.world.silent.add(follower)
    suite.world.store.cutOff.add(follower)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(OTHERS.map((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version))
      .toEqual(OTHERS.map(() => 2))
  })

  it('reaches hosts whose follower has a hanging connection to the store', async () => {
    suite.world.store.silenceFeeds(orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    expect(allHaveVersion(2)).toEqual(true)
  })

  it('reaches a follower that the store does not answer, and the hosts that request the table from it', async () => {
    const follower = orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name
    suite.world.store.silenceFeeds(follower)
    suite.world.store.cutOff.add(follower)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(1000)
    expect(allHaveVersion(2)).toEqual(true)
  })

  it('reaches hosts that the store rejects, with few store calls', async () => {
    const rejected = NAMES.filter((_, index) => index % 3 === 0)
    rejected.forEach((name) => suite.world.store.cutOff.add(name))
    const before = calls()
    await suite.clock.tickAsync(9000)
    // The reader and the first backup reader send 12 requests each; rejected followers, 7 for each table.
    expect(calls() - before < 150).toEqual(true)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(allHaveVersion(2)).toEqual(true)
  })
})

describe('hosts that the store rejects', () => {
  const suite = setUpWorld(NAMES)

  it('can write while readers answer', async () => {
    NAMES.filter((_, index) => index % 3 === 0).forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(20_000)
    for (const name of NAMES) {
      expect((await suite.settle(suite.world.connect(name, 'money').write(), 300)).failure).toEqual(undefined)
    }
  })

  it('request no lease extensions while readers answer', async () => {
    NAMES.filter((_, index) => index % 3 === 0).forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(20_000)
    expect(suite.world.messagesByType.get('extend') ?? 0).toEqual(0)
  })
})

/**
 * Guards against followers that the store rejects and that confirm an outdated table to each other, so that hosts keep
 * serving callers by a replaced desired state.
 */
describe('a change shortly after the store starts to reject hosts', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(93) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(NAMES)
  const outdatedHosts = (): string[] =>
    NAMES.filter((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version !== 2)
  const changeAfter = async (rejected: string[], leadMs: number): Promise<void> => {
    await suite.clock.tickAsync(5000)
    rejected.forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(leadMs)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
  }

  it('reaches rejected followers that request the table from each other, and all other hosts', async () => {
    await changeAfter(['h14', 'h9', 'h10', 'h1', 'h3', 'h2', 'h12', 'h13'], 660)
    expect(outdatedHosts()).toEqual([])
  })

  for (const leadMs of [0, 150, 300, 450, 600, 800, 1000, 1300]) {
    it(`reaches all hosts if all followers except one are rejected ${leadMs} ms before`, async () => {
      await changeAfter(FOLLOWERS.slice(1), leadMs)
      expect(outdatedHosts()).toEqual([])
    })
  }

  it('needs few store calls', async () => {
    await suite.clock.tickAsync(5000)
    FOLLOWERS.slice(2).forEach((name) => suite.world.store.cutOff.add(name))
    const before = suite.world.store.calls
    await suite.clock.tickAsync(9000)
    // Readers and backup readers read every 0.75 s; each rejected follower requests two tables every 1.2 s.
    expect(suite.world.store.calls - before < 200).toEqual(true)
  })
})
