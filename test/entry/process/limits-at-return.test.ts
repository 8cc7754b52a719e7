import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
const HOSTS = Array.from({ length: 9 }, (_, index) => `h${index + 1}`)
const LIMIT = { perSecond: 20, burst: 20 }
const WINDOW_MS = 5000
const MAXIMUM_IN_WINDOW = (LIMIT.perSecond * WINDOW_MS / 1000 + LIMIT.burst) * 1.1 + 20

describe('the limit of an organisation when all hosts return at once', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(24) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(HOSTS, [VIEW])
  /** Sends reads through all hosts; returns how many were served. */
  const sendReads = async (perSecond: number, forMs: number): Promise<number> => {
    let served = 0
    for (let sent = 0; sent * 1000 / perSecond < forMs; sent++) {
      void suite.world.connect(HOSTS[sent % HOSTS.length]!, 'view', 'red-1').read()
        .then(({ failure }) => { served += failure === undefined ? 1 : 0 })
      await suite.clock.tickAsync(1000 / perSecond)
    }
    await suite.clock.tickAsync(500)
    return served
  }
  const restartAll = async (withoutPowerMs: number): Promise<void> => {
    const kills = Promise.all(HOSTS.map(async (name) => await suite.world.kill(name)))
    await suite.clock.tickAsync(withoutPowerMs)
    await kills
    for (const name of HOSTS) {
      await suite.world.startHost(name)
    }
    await suite.clock.tickAsync(300)
  }

  it('grants its rate at once, and what it granted before the loss of power counts', async () => {
    suite.world.configure([VIEW], [{ name: 'red', keys: ['red-1'], limit: LIMIT }])
    await suite.clock.tickAsync(WINDOW_MS + 1000)
    await sendReads(100, 2000)
    await restartAll(600)
    const served = await sendReads(100, 2000)
    const times = suite.world.upstreams.runs.map(({ at }) => at)
    const most = Math.max(...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length))
    expect(served >= LIMIT.perSecond * 2).toEqual(true)
    expect(most <= MAXIMUM_IN_WINDOW).toEqual(true)
  })
})
