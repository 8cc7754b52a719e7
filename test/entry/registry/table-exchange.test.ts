import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { followersOf, LEAST_FOLLOWERS, orderFor } from '../../../src/entry/registry/readers.ts'
import type { KnownHost } from '../../../src/entry/registry/snapshot.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const NAMES = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
const HOSTS: KnownHost[] = NAMES.map((name) => ({
  name, version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p'
}))
const FOLLOWERS = followersOf(HOSTS).map(({ name }) => name)
const OTHERS = NAMES.filter((name) => !FOLLOWERS.includes(name))
/** Time within which a desired state must be in force, in milliseconds; the users' least bound. */
const IN_FORCE_MS = 3000
const MORE = [MONEY, { ...MONEY, database: 'more' }]

describe('tables that few hosts follow for all', () => {
  const suite = setUpWorld(NAMES)
  const versions = () => NAMES.map((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version)
  const allHave = (version: number) => versions().every((known) => known === version)
  const calls = () => suite.world.store.calls

  it('reach all hosts at once, with calls of the followers only', async () => {
    await suite.clock.tickAsync(30_000)
    const before = calls()
    suite.world.configure(MORE)
    await suite.clock.tickAsync(400)
    expect(allHave(2)).toEqual(true)
    // Each follower gets its answer and asks again; the one reader goes on reading the registry.
    expect(calls() - before <= 2 * LEAST_FOLLOWERS).toEqual(true)
  })

  it('reach hosts whose follower is paused', async () => {
    const asked = orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name
    suite.world.silent.add(asked)
    suite.world.store.cutOff.add(asked)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(OTHERS.map((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version))
      .toEqual(OTHERS.map(() => 2))
  })

  it('reach hosts whose follower has a connection that went silent', async () => {
    suite.world.store.silenceFeeds(orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    expect(allHave(2)).toEqual(true)
  })

  it('reach a follower that the store has left without an answer, and hosts that ask it', async () => {
    const asked = orderFor(OTHERS[0]!, HOSTS, followersOf(HOSTS))[0]!.name
    suite.world.store.silenceFeeds(asked)
    suite.world.store.cutOff.add(asked)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(1000)
    expect(allHave(2)).toEqual(true)
  })

  it('reach hosts that the store rejects, which ask it little', async () => {
    const rejected = NAMES.filter((_, index) => index % 3 === 0)
    rejected.forEach((name) => suite.world.store.cutOff.add(name))
    const before = calls()
    await suite.clock.tickAsync(9000)
    // The reader and its deputy ask 12 times each; the followers that are rejected, 7 times a table.
    expect(calls() - before < 150).toEqual(true)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(allHave(2)).toEqual(true)
  })
})

describe('hosts that the store rejects', () => {
  const suite = setUpWorld(NAMES)

  it('go on working at primaries for as long as readers answer', async () => {
    NAMES.filter((_, index) => index % 3 === 0).forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(20_000)
    for (const name of NAMES) {
      expect((await suite.settle(suite.world.connect(name, 'money').write(), 300)).failure).toEqual(undefined)
    }
  })

  it('ask no majority of all hosts for what a reader returns', async () => {
    NAMES.filter((_, index) => index % 3 === 0).forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(20_000)
    expect(suite.world.messagesByType.get('extend') ?? 0).toEqual(0)
  })
})

/**
 * Callers were served by a desired state that had been replaced seconds before, on hosts that the store rejected. A
 * follower whose question to the store fails forgets the version to ask from and asks other followers. It passed over
 * a peer's notification of a change that came in that moment, since it had no version to compare. When the follower
 * that it asked was rejected as well, that one said that nothing was new, which counted as an answer. Two followers
 * told each other so for as long as the store rejected them, and all hosts that asked them stayed behind too. The log
 * of such a host has neither `feed.behind` nor `feed.lost`, and no `desired-state.in-force` of the version. Now a host
 * says that nothing is new only while the store answers it, and `feed.peer-behind` names one that knew less than was
 * told.
 */
describe('a change that comes soon after the store has begun to reject hosts', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(93) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(NAMES)
  const behind = (): string[] =>
    NAMES.filter((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version !== 2)
  const changeAfter = async (rejected: string[], leadMs: number): Promise<void> => {
    await suite.clock.tickAsync(5000)
    rejected.forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(leadMs)
    suite.world.configure(MORE)
    await suite.clock.tickAsync(IN_FORCE_MS)
  }

  it('reaches two rejected followers that ask each other, and whoever asks them', async () => {
    await changeAfter(['h14', 'h9', 'h10', 'h1', 'h3', 'h2', 'h12', 'h13'], 660)
    expect(behind()).toEqual([])
  })

  for (const leadMs of [0, 150, 300, 450, 600, 800, 1000, 1300]) {
    it(`reaches all hosts when all followers but one are rejected, ${leadMs} ms before`, async () => {
      await changeAfter(FOLLOWERS.slice(1), leadMs)
      expect(behind()).toEqual([])
    })
  }

  it('reaches them with few calls to the store', async () => {
    await suite.clock.tickAsync(5000)
    FOLLOWERS.slice(2).forEach((name) => suite.world.store.cutOff.add(name))
    const before = suite.world.store.calls
    await suite.clock.tickAsync(9000)
    // A reader reads each 0.75 s, and so do deputies; each rejected follower tries two tables each 1.2 s.
    expect(suite.world.store.calls - before < 200).toEqual(true)
  })
})
