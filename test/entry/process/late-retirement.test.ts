import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS } from '../../../src/entry/registry/lease-times.ts'
import { checkOnePrimary, collectEvidence, type Operation } from '../../fixtures/fleet/history.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

/** Hosts beyond a cut. */
const BEYOND = ['h3', 'h4', 'h5']
/** Time after which the store carries out the retirement, in milliseconds. */
const LATE_MS = 5000
/** Time before that at which the hosts lose the store, in milliseconds; longer than a read of theirs takes. */
const UNREAD_MS = 100
const STEP_MS = 10
const SEED = 1

describe('the retirement of a host that the store carries out late', () => {
  let restoreRandom: () => void
  beforeEach(() => { restoreRandom = seedRandom(SEED) })
  const suite = setUpWorld(['h1', 'h2', 'h3', 'h4', 'h5'])
  afterEach(() => restoreRandom())

  /** Lets the retirement of h3 arrive late; returns once the store has carried it out. */
  const retireLate = async (): Promise<void> => {
    const { world, clock } = suite
    let retiredAt = Infinity
    world.store.writesLate = true
    world.store.lateWriteMs = LATE_MS
    world.logger = {
      log: (_level, event) => {
        retiredAt = event === 'registry.retire-failed' ? Math.min(retiredAt, performance.now()) : retiredAt
      }
    }
    BEYOND.forEach((host) => world.beyondCut.add(host))
    while (performance.now() < retiredAt + LATE_MS - UNREAD_MS) {
      await clock.tickAsync(STEP_MS)
    }
    BEYOND.forEach((host) => world.store.cutOff.add(host))
    await clock.tickAsync(UNREAD_MS)
    world.store.writesLate = false
  }

  it('lets the host acknowledge no write at the old primary after a promotion', async () => {
    const { world, clock } = suite
    await retireLate()
    // The others grant h3 extensions until a failover stops them too.
    await clock.tickAsync(EXTENDED_LEASE_MS + LEASE_MARGIN_MS - LATE_MS)
    const primary = world.upstreams.all.get('g-a')!
    primary.cutOff.add('h1').add('h2')
    primary.draining = true
    world.announce(primary)
    world.beyondCut.delete('h4')
    world.beyondCut.delete('h5')
    const operations: Operation[] = []
    const write = async (): Promise<void> => {
      const startedAt = performance.now()
      const { id, ...answer } = await world.connect('h3', 'money').write()
      const endedAt = performance.now()
      operations.push({
        id, type: 'write', session: 0, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt, answer
      })
    }
    for (let elapsed = 0; elapsed < 8000; elapsed += STEP_MS) {
      void write()
      await clock.tickAsync(STEP_MS)
    }
    await clock.tickAsync(1000)
    const evidence = collectEvidence(operations, world.upstreams)
    expect(evidence.promotions.length).toEqual(1)
    expect(checkOnePrimary(evidence).length).toEqual(0)
  })
})
