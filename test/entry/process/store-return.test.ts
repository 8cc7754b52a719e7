import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8', 'h9', 'h10']
const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
/** Time from the store's first answer until each host serves reads and writes, in milliseconds. */
const SERVED_AFTER_MS = 300
/** Maximum number of calls to the store by a host that waits for it, per second: 58 hosts send 1,500. */
const MAXIMUM_CALLS_PER_SECOND = 26

describe('ten hosts that start while the store is unavailable', () => {
  const suite = setUpWorld(HOSTS, [MONEY, VIEW])
  const restartAll = async (): Promise<void> => {
    const kills = Promise.all(HOSTS.map(async (host) => await suite.world.kill(host)))
    await suite.clock.tickAsync(1000)
    await kills
    for (const host of HOSTS) {
      await suite.world.startHost(host)
    }
  }
  /** Returns the number of failures of a read and a write at each host. */
  const countFailures = async (): Promise<number> => {
    const answers = await suite.settle(Promise.all(HOSTS.flatMap((host) => [
      suite.world.connect(host, 'money').write(), suite.world.connect(host, 'view').read()
    ])), 1000)
    return answers.filter(({ failure }) => failure !== undefined).length
  }

  it('serve reads and writes soon after its first answer, and call it rarely enough until then', async () => {
    const { world, clock } = suite
    world.store.down = true
    await restartAll()
    const callsBefore = world.store.calls
    await clock.tickAsync(2500)
    const callsPerSecond = (world.store.calls - callsBefore) / HOSTS.length / 2.5
    world.store.down = false
    await clock.tickAsync(SERVED_AFTER_MS - 100)
    const startedAt = performance.now()
    const answered = HOSTS.flatMap((host) => [
      world.connect(host, 'money').write(), world.connect(host, 'view').read()
    ]).map(async (answer) => ({ ...await answer, tookMs: performance.now() - startedAt }))
    const answers = await suite.settle(Promise.all(answered), 1000)
    expect(answers.filter(({ failure }) => failure !== undefined)).toEqual([])
    expect(Math.max(...answers.map(({ tookMs }) => tookMs)) <= 100).toEqual(true)
    expect(callsPerSecond <= MAXIMUM_CALLS_PER_SECOND).toEqual(true)
  })

  it('serve their callers although a reading host is silent and the store is slow', async () => {
    const { world, clock } = suite
    await restartAll()
    await clock.tickAsync(3000)
    world.store.answerMs = 120
    world.silent.add('h1')
    await world.kill('h2')
    await world.startHost('h2')
    await clock.tickAsync(600)
    const { failure } = await suite.settle(world.connect('h2', 'view').read(), 1000)
    expect(failure).toEqual(undefined)
    world.silent.clear()
    world.store.answerMs = 4
    await clock.tickAsync(4000)
    expect(await countFailures()).toEqual(0)
  })
})
