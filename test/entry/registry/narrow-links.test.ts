import { describe, it } from 'node:test'
import { expect } from 'earl'
import { CHANGE_IN_FORCE_MS } from '../../../src/entry/ports/change-bound.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'

const NAMES = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
/** 2 Mbit/s. */
const BYTES_PER_MS = 250
/** Routes of a desired state of over 400 KB, which takes 1.7 s on such a link. */
const MANY_ROUTES = [
  MONEY, ...Array.from({ length: 2300 }, (_, index) => ({ ...MONEY, database: `${'many'.repeat(25)}${index}` }))
]
/** Time for hosts that have restarted to serve again, in milliseconds. */
const RECOVERY_MS = 10_000

// Guards against time limits and repetitions that cover the transfer of a large desired state: hosts on narrow links
// went on with the previous one, and after a restart with none.
describe('a large desired state on narrow links', () => {
  const suite = setUpWorld(NAMES)
  const outdated = (): string[] =>
    NAMES.filter((name) => suite.world.hosts.get(name)!.kernel.use('desiredState').current?.version !== 2)

  it('is in force on all hosts in time', async () => {
    await suite.clock.tickAsync(20_000)
    suite.world.store.links.bytesPerMs = BYTES_PER_MS
    suite.world.configure(MANY_ROUTES)
    await suite.clock.tickAsync(CHANGE_IN_FORCE_MS)
    expect(outdated()).toEqual([])
  })

  it('is in force on all hosts in time if their long polls to the store are silent', async () => {
    await suite.clock.tickAsync(20_000)
    NAMES.forEach((name) => suite.world.store.silenceFeeds(name))
    suite.world.store.links.bytesPerMs = BYTES_PER_MS
    suite.world.configure(MANY_ROUTES)
    // The first host may learn of the change only when its knowledge has become stale.
    await suite.clock.tickAsync(2 * CHANGE_IN_FORCE_MS)
    expect(outdated()).toEqual([])
  })

  // Guards against hosts that can get a large change neither from the store nor from others.
  it('is in force on hosts that the store rejects, on wide links', async () => {
    await suite.clock.tickAsync(20_000)
    NAMES.filter((_, index) => index % 3 === 0).forEach((name) => suite.world.store.cutOff.add(name))
    await suite.clock.tickAsync(2000)
    suite.world.configure(MANY_ROUTES)
    await suite.clock.tickAsync(2 * CHANGE_IN_FORCE_MS)
    expect(outdated()).toEqual([])
  })

  it('is in force again after all hosts have restarted', async () => {
    suite.world.store.links.bytesPerMs = BYTES_PER_MS
    suite.world.configure(MANY_ROUTES)
    for (const name of NAMES) {
      await suite.world.kill(name)
    }
    await Promise.all(NAMES.map(async (name) => {
      const starting = suite.world.startHost(name)
      await suite.clock.tickAsync(50)
      await starting
    }))
    await suite.clock.tickAsync(RECOVERY_MS)
    expect(outdated()).toEqual([])
  })
})
