import { describe, it } from 'node:test'
import { expect } from 'earl'
import { checkLeaving, type Leaving } from '../../fixtures/fleet/history.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const ROUTES: FakeRoute[] = [
  { database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 },
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
]
const HOSTS = ['h1', 'h2', 'h3']
/** Time after which a draining upstream must get no new work, in milliseconds: the default of the settings. */
const DRAIN_MS = 7000
/** Simulated time after an upstream starts draining, in milliseconds. */
const SIMULATED_MS = 12_000
const REQUEST_INTERVAL_MS = 40

describe('draining upstreams', () => {
  const suite = setUpWorld(HOSTS, ROUTES)

  /** Starts draining an upstream through the store, under load from all hosts. */
  const drain = async (name: string, fault: () => void): Promise<{ leaving: Leaving, failures: number }> => {
    const { world, clock } = suite
    const leaving: Leaving = { upstream: name, since: performance.now() }
    const upstream = world.upstreams.all.get(name)!
    fault()
    upstream.draining = true
    world.announce(upstream)
    let failures = 0
    for (let elapsed = 0; elapsed < SIMULATED_MS; elapsed += REQUEST_INTERVAL_MS) {
      const host = HOSTS[(elapsed / REQUEST_INTERVAL_MS) % HOSTS.length]!
      const route = ROUTES[Math.floor(elapsed / REQUEST_INTERVAL_MS / HOSTS.length) % ROUTES.length]!
      const caller = world.connect(host, route.database)
      void (route.database === 'money' ? caller.write() : caller.read()).then(({ failure }) => {
        failures += failure === undefined ? 0 : 1
      })
      await clock.tickAsync(REQUEST_INTERVAL_MS)
    }
    return { leaving, failures }
  }
  const FAULTS: Record<string, () => void> = {
    'there is no other fault': () => {},
    'the change feeds of two hosts have stalled': () => {
      suite.world.store.silenceFeeds('h1')
      suite.world.store.silenceFeeds('h3')
    },
    'the store has lost its change history': () => suite.world.store.forgetHistory(),
    'the store is slow': () => { suite.world.store.answerMs = 240 },
    'the store is briefly unavailable afterwards': () => {
      setTimeout(() => { suite.world.store.down = true }, 30)
      setTimeout(() => { suite.world.store.down = false }, 2500)
    },
    'one host receives no messages from its peers': () => { suite.world.silent.add('h2') }
  }

  for (const [fault, injectFault] of Object.entries(FAULTS)) {
    for (const name of ['g-a', 'g-b']) {
      it(`get nothing new after their time (${name === 'g-a' ? 'the primary' : 'a replica'}) when ${fault}`, async () => {
        const { leaving } = await drain(name, injectFault)
        expect(checkLeaving(suite.world.upstreams.runs, [leaving], DRAIN_MS)).toEqual([])
        const after = suite.world.upstreams.runs.filter(({ at }) => at > leaving.since + DRAIN_MS)
        expect(after.length > 50).toEqual(true)
      })
    }
  }

  it('cause no failures when a replica drains without other faults', async () => {
    expect((await drain('g-b', () => {})).failures).toEqual(0)
  })

  it('are reported by the history check if they got work too late', () => {
    const run = {
      connection: 1, host: 'h1', organisation: '', text: '', values: {}, inTransaction: false, upstream: 'g-b', requestId: 'r1'
    }
    const leaving = [{ upstream: 'g-b', since: 100 }]
    expect(checkLeaving([{ ...run, at: 100 + DRAIN_MS + 1 }], leaving, DRAIN_MS).length).toEqual(1)
    expect(checkLeaving([{ ...run, at: 100 + DRAIN_MS - 1 }], leaving, DRAIN_MS)).toEqual([])
  })
})
