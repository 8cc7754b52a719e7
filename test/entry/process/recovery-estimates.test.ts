import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS } from '../../fixtures/fleet/world.ts'

/** What became of a write, in milliseconds since the play began. */
interface WriteOutcome {
  sentAt: number
  tookMs: number
  failure?: string
}

describe('requests for a primary that is lost', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY])

  /** Sends a write each 50 ms on every host, and says what became of it and how long that took. */
  const playWrites = async (durationMs: number): Promise<WriteOutcome[]> => {
    const outcomes: WriteOutcome[] = []
    const startedAt = performance.now()
    for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
      for (const host of ['h1', 'h2', 'h3']) {
        const sentAt = performance.now()
        void suite.world.connect(host, 'money').write().then(({ failure }) => outcomes.push({
          sentAt: sentAt - startedAt,
          tookMs: performance.now() - sentAt,
          ...failure !== undefined && { failure: `${failure.kind}: ${failure.message}` }
        }))
      }
      await suite.clock.tickAsync(50)
    }
    await suite.clock.tickAsync(1000)
    return outcomes
  }

  it('are refused at once while no other one can be there in time, and served later when they can wait for it', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    suite.world.upstreams.promoteMs = 1100
    suite.world.upstreams.all.get('g-a')!.crash()
    const outcomes = await playWrites(4000)
    const refused = outcomes.filter(({ failure }) => failure?.startsWith('busy'))
    const waited = outcomes.filter(({ tookMs, failure }) => failure === undefined && tookMs > 100)
    expect(refused.length > 5).toEqual(true)
    expect(refused.every(({ failure }) => failure!.includes('retry after'))).toEqual(true)
    // Half of those that are refused are told within a quarter of what routes give for an answer in time.
    const times = refused.map(({ tookMs }) => tookMs).sort((left, right) => left - right)
    expect(times[times.length >> 1]! <= 50).toEqual(true)
    expect(waited.length > 5).toEqual(true)
    expect(outcomes.filter(({ sentAt }) => sentAt > 3000).every(({ failure }) => failure === undefined)).toEqual(true)
  })

  it('are refused at once when a change of primary lasts far longer than others did', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    suite.world.upstreams.promoteMs = 60_000
    suite.world.upstreams.all.get('g-a')!.crash()
    const late = (await playWrites(6000)).filter(({ sentAt }) => sentAt > 4000)
    expect(late.length > 100).toEqual(true)
    for (const { failure, tookMs } of late) {
      expect(failure?.startsWith('busy')).toEqual(true)
      expect(tookMs < 50).toEqual(true)
    }
  })

  it('are served again as soon as a primary that seemed lost answers', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    primary.cutOff.add('h1')
    await playWrites(900)
    primary.cutOff.delete('h1')
    await suite.clock.tickAsync(500)
    const { failure } = await suite.settle(suite.world.connect('h1', 'money').write(), 700)
    expect(failure).toEqual(undefined)
  })
})

/**
 * A host that has no fit home goes to the primary itself, and expects a failover when it does not reach it. Once a home
 * answers again the host asks there, and never saw that the primary was back: it expected the failover for good, and in
 * the next one it took the recovery for long overdue and refused at once what could have waited. `expectedMs` stayed at
 * 2000 after the home was back. Now a host looks whether a primary that it had lost answers it.
 */
describe('a host that lost the way to a primary and asks a home there again', () => {
  const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
  const suite = setUpWorld(HOSTS, [MONEY])
  const placed = HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN }))
  const homes = homesOf({ upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }, placed, FAKE_CAP)
    .map(({ name }) => name)
  const MESSAGES_TO_HOMES = ['home-statement', 'home-alive']
  const other = HOSTS.find((name) => !homes.includes(name))!

  it('expects no failover any more', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    const expectedMs = (): number => suite.world.hosts.get(other)!.kernel.use('leadership').expectedRecoveryMs('g')
    await suite.settle(suite.world.connect(other, 'money').write(), 100)
    MESSAGES_TO_HOMES.forEach((type) => suite.world.lostTypes.add(type))
    primary.cutOff.add(other)
    await suite.settle(suite.world.connect(other, 'money').write(), 1500)
    await suite.settle(suite.world.connect(other, 'money').write(), 1500)
    expect(expectedMs() > 0).toEqual(true)
    suite.world.lostTypes.clear()
    // Homes that were silent are asked whether they are alive when they are needed.
    await suite.settle(suite.world.connect(other, 'money').write(), 1500)
    const { failure } = await suite.settle(suite.world.connect(other, 'money').write(), 500)
    expect(failure).toEqual(undefined)
    expect(expectedMs()).toEqual(0)
  })
})
