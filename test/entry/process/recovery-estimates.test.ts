import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS } from '../../fixtures/fleet/world.ts'

/** Outcome of a write; times in milliseconds, `sentAt` since the first write was sent. */
interface WriteOutcome {
  sentAt: number
  tookMs: number
  failure?: string
}

describe('requests for a lost primary', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY])

  /** Sends a write every 50 ms on every host, and returns the outcomes. */
  const writeOnAllHosts = async (durationMs: number): Promise<WriteOutcome[]> => {
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

  it('are refused at once while no successor is expected in time, and wait for it once it is', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    suite.world.upstreams.promoteMs = 1100
    suite.world.upstreams.all.get('g-a')!.crash()
    const outcomes = await writeOnAllHosts(4000)
    const refused = outcomes.filter(({ failure }) => failure?.startsWith('busy'))
    const waited = outcomes.filter(({ tookMs, failure }) => failure === undefined && tookMs > 100)
    expect(refused.length > 5).toEqual(true)
    expect(refused.every(({ failure }) => failure!.includes('retry after'))).toEqual(true)
    // The median refusal takes at most a quarter of the target for answers on routes.
    const times = refused.map(({ tookMs }) => tookMs).sort((left, right) => left - right)
    expect(times[times.length >> 1]! <= 50).toEqual(true)
    expect(waited.length > 5).toEqual(true)
    expect(outcomes.filter(({ sentAt }) => sentAt > 3000).every(({ failure }) => failure === undefined)).toEqual(true)
  })

  it('are refused at once if a failover takes far longer than earlier ones', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    suite.world.upstreams.promoteMs = 60_000
    suite.world.upstreams.all.get('g-a')!.crash()
    const late = (await writeOnAllHosts(6000)).filter(({ sentAt }) => sentAt > 4000)
    expect(late.length > 100).toEqual(true)
    for (const { failure, tookMs } of late) {
      expect(failure?.startsWith('busy')).toEqual(true)
      expect(tookMs < 50).toEqual(true)
    }
  })

  it('are served again once a primary that seemed lost answers', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    await suite.settle(suite.world.connect('h1', 'money').write(), 100)
    primary.cutOff.add('h1')
    await writeOnAllHosts(900)
    primary.cutOff.delete('h1')
    await suite.clock.tickAsync(500)
    const { failure } = await suite.settle(suite.world.connect('h1', 'money').write(), 700)
    expect(failure).toEqual(undefined)
  })
})

// Guards against a host that expects a failover forever once its requests go through a home again.
describe('a host that lost a primary and reaches one of its homes again', () => {
  const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
  const suite = setUpWorld(HOSTS, [MONEY])
  const placed = HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN }))
  const homes = homesOf({ upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }, placed, FAKE_CAP)
    .map(({ name }) => name)
  const MESSAGES_TO_HOMES = ['home-statement', 'home-alive']
  const otherHost = HOSTS.find((name) => !homes.includes(name))!

  it('no longer expects a failover', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    const recoveryMs = (): number => suite.world.hosts.get(otherHost)!.kernel.use('leadership').expectedRecoveryMs('g')
    await suite.settle(suite.world.connect(otherHost, 'money').write(), 100)
    MESSAGES_TO_HOMES.forEach((type) => suite.world.lostTypes.add(type))
    primary.cutOff.add(otherHost)
    await suite.settle(suite.world.connect(otherHost, 'money').write(), 1500)
    await suite.settle(suite.world.connect(otherHost, 'money').write(), 1500)
    expect(recoveryMs() > 0).toEqual(true)
    suite.world.lostTypes.clear()
    // Homes that were silent are checked for being alive on their next use.
    await suite.settle(suite.world.connect(otherHost, 'money').write(), 1500)
    const { failure } = await suite.settle(suite.world.connect(otherHost, 'money').write(), 500)
    expect(failure).toEqual(undefined)
    expect(recoveryMs()).toEqual(0)
  })
})
