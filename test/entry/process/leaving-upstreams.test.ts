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
/** Time after which a leaving upstream may get nothing new, in milliseconds: the default of the settings. */
const DRAIN_MS = 7000
/** Time that is played after an upstream began to leave, in milliseconds. */
const PLAYED_MS = 12_000
const REQUEST_EVERY_MS = 40

describe('upstreams that leave', () => {
  const suite = setUpWorld(HOSTS, ROUTES)

  /** Lets an upstream leave, by what the store says, under load of all hosts. */
  const leave = async (name: string, trouble: () => void): Promise<{ leaving: Leaving, failures: number }> => {
    const { world, clock } = suite
    const leaving: Leaving = { upstream: name, since: performance.now() }
    const upstream = world.upstreams.all.get(name)!
    trouble()
    upstream.draining = true
    world.announce(upstream)
    let failures = 0
    for (let elapsed = 0; elapsed < PLAYED_MS; elapsed += REQUEST_EVERY_MS) {
      const host = HOSTS[(elapsed / REQUEST_EVERY_MS) % HOSTS.length]!
      const route = ROUTES[Math.floor(elapsed / REQUEST_EVERY_MS / HOSTS.length) % ROUTES.length]!
      const caller = world.connect(host, route.database)
      void (route.database === 'money' ? caller.write() : caller.read()).then(({ failure }) => {
        failures += failure === undefined ? 0 : 1
      })
      await clock.tickAsync(REQUEST_EVERY_MS)
    }
    return { leaving, failures }
  }
  const TROUBLES: Record<string, () => void> = {
    'nothing else happens': () => {},
    'the questions of two hosts for changes have gone silent': () => {
      suite.world.store.silenceFeeds('h1')
      suite.world.store.silenceFeeds('h3')
    },
    'the store has lost its history': () => suite.world.store.forgetHistory(),
    'the store is slow': () => { suite.world.store.answerMs = 240 },
    'the store is away for a moment afterwards': () => {
      setTimeout(() => { suite.world.store.down = true }, 30)
      setTimeout(() => { suite.world.store.down = false }, 2500)
    },
    'one host does not hear its peers': () => { suite.world.silent.add('h2') }
  }

  for (const [trouble, strike] of Object.entries(TROUBLES)) {
    for (const name of ['g-a', 'g-b']) {
      it(`get nothing new after their time (${name === 'g-a' ? 'the primary' : 'a replica'}) when ${trouble}`, async () => {
        const { leaving } = await leave(name, strike)
        expect(checkLeaving(suite.world.upstreams.runs, [leaving], DRAIN_MS)).toEqual([])
        const after = suite.world.upstreams.runs.filter(({ at }) => at > leaving.since + DRAIN_MS)
        expect(after.length > 50).toEqual(true)
      })
    }
  }

  it('are given up without a failure when a replica leaves on a calm day', async () => {
    expect((await leave('g-b', () => {})).failures).toEqual(0)
  })

  it('are found in a history in which one got work too late', () => {
    const run = {
      connection: 1, host: 'h1', organisation: '', text: '', values: {}, inTransaction: false, upstream: 'g-b', requestId: 'r1'
    }
    const leaving = [{ upstream: 'g-b', since: 100 }]
    expect(checkLeaving([{ ...run, at: 100 + DRAIN_MS + 1 }], leaving, DRAIN_MS).length).toEqual(1)
    expect(checkLeaving([{ ...run, at: 100 + DRAIN_MS - 1 }], leaving, DRAIN_MS)).toEqual([])
  })
})
