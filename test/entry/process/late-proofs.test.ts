import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS, type FakeRoute } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
const MAXIMUM_AGE_MS = 1500
const VIEW: FakeRoute = {
  database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: MAXIMUM_AGE_MS }, timeoutMs: 800
}
/** Interval between two reads of the transaction, in milliseconds. */
const STEP_MS = 400
const LONGEST_FAILOVER_MS = 20_000

describe('a host that is cut off with the old primary', () => {
  const suite = setUpWorld(HOSTS, [MONEY, VIEW])
  const placed = { upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }
  const [near, home] = homesOf(placed, HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN })), FAKE_CAP)
    .map(({ name }) => name) as [string, string]

  // A read-only transaction outlasts the lease; the positions that its answers report prove nothing after it.
  it('serves no read on the strength of what the primary reported after the lease', async () => {
    const { world, clock, settle } = suite
    const upstreams = world.upstreams.all
    await settle(world.connect(near, 'money').write(), 200)
    world.silent.add(near)
    world.store.cutOff.add(near)
    ;['g-b', 'g-c'].forEach((name) => upstreams.get(name)!.cutOff.add(near))
    HOSTS.filter((name) => name !== near).forEach((name) => upstreams.get('g-a')!.cutOff.add(name))
    const cutAt = performance.now()
    const bounded = world.connect(near, 'view')
    while (performance.now() - cutAt < 2000) {
      void bounded.read()
      await clock.tickAsync(STEP_MS)
    }
    const reader = world.connect(near, 'view')
    await settle(reader.send({ type: 'begin', readOnly: true }), 100)
    const readOnFor = async (ms: number): Promise<void> => {
      const until = performance.now() + ms
      while (performance.now() < until) {
        await settle(reader.read(), STEP_MS)
      }
    }
    while (world.upstreams.promotions.length === 0 && performance.now() - cutAt < LONGEST_FAILOVER_MS) {
      void world.connect(home, 'money').write()
      await readOnFor(STEP_MS)
    }
    const write = world.connect(home, 'money').write()
    await readOnFor(2000)
    const { failure, id } = await write
    expect(failure).toEqual(undefined)
    await readOnFor(MAXIMUM_AGE_MS + STEP_MS)
    const read = await settle(world.connect(near, 'view').read(), 1000)
    expect([read.failure?.kind ?? 'served', read.rows.some((row) => row?.includes(id))]).toEqual(['busy', false])
  })
})
