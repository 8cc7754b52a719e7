import { describe, it } from 'node:test'
import { expect } from 'earl'
import { CHANGE_IN_FORCE_MS } from '../../../src/entry/ports/change-bound.ts'
import { followersOf } from '../../../src/entry/registry/readers.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeOrganisation } from '../../fixtures/fleet/world.ts'

const MORE = [MONEY, { ...MONEY, database: 'more' }]
const ORGANISATION: FakeOrganisation = { name: 'o', keys: ['kept', 'revoked'] }
/** Times after the start at which connections go silent, in milliseconds. */
const SILENT_AFTER_MS = [4000, 9300, 30_000]

function namesOf (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `h${index + 1}`)
}

for (const count of [3, 9, 30]) {
  describe(`a change after all open connections of ${count} hosts have gone silent`, () => {
    const names = namesOf(count)
    const suite = setUpWorld(names)
    const stateOf = (name: string) => suite.world.hosts.get(name)!.kernel.use('desiredState').current
    const outdated = (version: number): string[] => names.filter((name) => stateOf(name)?.version !== version)

    for (const silentAfterMs of SILENT_AFTER_MS) {
      it(`is in force on all hosts in time, ${silentAfterMs} ms after the start`, async () => {
        await suite.clock.tickAsync(silentAfterMs)
        suite.world.silenceConnections()
        await suite.clock.tickAsync(200)
        suite.world.configure(MORE)
        await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
        expect(outdated(2)).toEqual([])
      })
    }

    it('is in force on all hosts in time if only the long polls to the store are silent', async () => {
      await suite.clock.tickAsync(5000)
      names.forEach((name) => suite.world.store.silenceFeeds(name))
      suite.world.configure(MORE)
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      expect(outdated(2)).toEqual([])
    })

    it('is in force on all hosts in time if connections go silent again just before it', async () => {
      await suite.clock.tickAsync(5000)
      suite.world.silenceConnections()
      await suite.clock.tickAsync(1000)
      suite.world.silenceConnections()
      suite.world.configure(MORE)
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      expect(outdated(2)).toEqual([])
    })

    it('is in force on a host that also lost all its peers', async () => {
      const [isolated] = names.filter((name) =>
        !followersOf(suite.world.hosts.get(name)!.kernel.use('registry').current.liveHosts).slice(0, 1)
          .some((follower) => follower.name === name))
      suite.world.silent.add(isolated!)
      suite.world.silenceConnections()
      await suite.clock.tickAsync(3000)
      suite.world.configure(MORE)
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      expect(outdated(2)).toEqual([])
    })

    it('shows a draining upstream to all hosts in time', async () => {
      await suite.clock.tickAsync(5000)
      suite.world.silenceConnections()
      const replica = suite.world.upstreams.all.get('g-b')!
      replica.draining = true
      const announcedAt = performance.now()
      suite.world.announce(replica)
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      const known = names.map((name) => suite.world.hosts.get(name)!.kernel.use('directory').get('g-b')!)
      expect(known.map(({ draining }) => draining)).toEqual(names.map(() => true))
      // New work ends a fixed time after this moment, however late the host learned of it.
      expect(known.filter(({ drainingSince = Infinity }) => drainingSince > announcedAt)).toEqual([])
    })

    it('revokes a key on all hosts in time', async () => {
      suite.world.configure([MONEY], [ORGANISATION])
      await suite.clock.tickAsync(5000)
      suite.world.silenceConnections()
      suite.world.configure([MONEY], [{ ...ORGANISATION, keys: ['kept'] }])
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      expect(names.filter((name) => stateOf(name)?.keys.has('revoked') ?? true)).toEqual([])
    })
  })
}

describe('a host that reaches the store only, by connections that go silent again and again', () => {
  const names = namesOf(9)
  const suite = setUpWorld(names)

  it('has each change in force in time, whenever it comes', async () => {
    const { liveHosts } = suite.world.hosts.get('h1')!.kernel.use('registry').current
    const followers = followersOf(liveHosts).map(({ name }) => name)
    const isolated = suite.world.hosts.get(names.find((name) => !followers.includes(name))!)!
    suite.world.silent.add(isolated.name)
    await suite.clock.tickAsync(5000)
    const late: number[] = []
    for (let version = 2; version < 42; version++) {
      suite.world.silenceConnections()
      suite.world.configure(MORE)
      await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
      if (isolated.kernel.use('desiredState').current?.version !== version) {
        late.push(version)
      }
      await suite.clock.tickAsync(1000 + 53 * version)
    }
    expect(late).toEqual([])
  })
})

describe('the list of hosts after all open connections have gone silent', () => {
  const names = namesOf(9)
  const suite = setUpWorld(names)

  it('shows a host that has just registered to all others in time', async () => {
    await suite.clock.tickAsync(5000)
    suite.world.silenceConnections()
    const starting = suite.world.startHost('late')
    await suite.clock.tickAsync(500 + CHANGE_IN_FORCE_MS)
    await starting
    const unaware = names.filter((name) =>
      !suite.world.hosts.get(name)!.kernel.use('registry').current.liveHosts.some((host) => host.name === 'late'))
    expect(unaware).toEqual([])
  })
})

describe('without faults', () => {
  const names = namesOf(9)
  const suite = setUpWorld(names)

  it('only the reader asks the store whether the tables have changed', async () => {
    await suite.clock.tickAsync(30_000)
    const before = suite.world.store.calls
    await suite.clock.tickAsync(30_000)
    // Three calls each 0.75 s by the reader, and a long poll each 25 s for two tables by each of eight followers.
    expect(suite.world.store.calls - before <= 3 * 42 + 2 * 8 * 2).toEqual(true)
  })
})
