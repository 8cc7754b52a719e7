/** Guards against work at a primary that goes on after the host has stopped, and against its answers. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { checkOnePrimary, collectEvidence, type Operation } from '../../fixtures/fleet/history.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5']
/** Route whose writes may wait at a slow primary until after a failover. */
const PATIENT: FakeRoute = { database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 30_000 }
/** Run time of a statement at the slow primary, in milliseconds; longer than a failover from a silent host. */
const SLOW_MS = 14_000
/** Time until a directory entry without a row is dropped, in milliseconds. */
const DROPPED_AFTER_MS = 3400

describe('a write in progress at a slow primary that the directory has dropped', () => {
  const suite = setUpWorld(HOSTS, [PATIENT])

  /** Sends a write on h1 that runs at the old primary until long after another upstream was promoted. */
  const writeThroughFailover = async (cutHostOff: () => void): Promise<Operation> => {
    const { world, clock } = suite
    world.upstreams.all.get('g-a')!.workMs = SLOW_MS
    const startedAt = performance.now()
    const writing = world.connect('h1', 'money').write()
    await clock.tickAsync(100)
    world.store.remove('servers', 'g-a')
    for (let elapsed = 0; world.hosts.get('h1')!.kernel.use('directory').get('g-a') !== undefined; elapsed += 10) {
      expect(elapsed < DROPPED_AFTER_MS).toEqual(true)
      await clock.tickAsync(10)
    }
    cutHostOff()
    await clock.tickAsync(SLOW_MS - 1000)
    expect(world.upstreams.promotions.length).toEqual(1)
    const { id, ...answer } = await suite.settle(writing)
    return {
      id, type: 'write', session: 1, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt: performance.now(), answer
    }
  }

  it('is not acknowledged after the host has acknowledged the closing', async () => {
    const operation = await writeThroughFailover(() => {})
    expect(checkOnePrimary(collectEvidence([operation], suite.world.upstreams))).toEqual([])
    expect(operation.answer.failure?.kind).toEqual('in-doubt')
  })

  it('is not acknowledged after the lease of the host has expired', async () => {
    const operation = await writeThroughFailover(() => {
      suite.world.silent.add('h1')
      suite.world.store.cutOff.add('h1')
    })
    expect(checkOnePrimary(collectEvidence([operation], suite.world.upstreams))).toEqual([])
    expect(operation.answer.failure?.kind).toEqual('in-doubt')
  })
})

describe('a write in progress at a host that is stopping', () => {
  const suite = setUpWorld(HOSTS, [PATIENT])
  /** Time until the row of a stopping host is removed, in milliseconds: the default grace period less its reserve. */
  const STOPPED_AFTER_MS = 5300
  /** Run time of the write, in milliseconds: until after the failover, and before the last lease would expire. */
  const RUN_MS = 7800

  // A promoter counts a host whose row is gone as stopped, even if its process has not ended yet.
  it('is not acknowledged after the row of the host was removed', async () => {
    const { world, clock } = suite
    const primary = world.upstreams.all.get('g-a')!
    primary.workMs = RUN_MS
    const startedAt = performance.now()
    const writing = world.connect('h1', 'money').write()
    await clock.tickAsync(100)
    const stopping = world.hosts.get('h1')!.kernel.stop()
    await suite.settle(stopping, STOPPED_AFTER_MS)
    for (const host of HOSTS.slice(1)) {
      primary.cutOff.add(host)
      void world.connect(host, 'money').write()
    }
    await clock.tickAsync(RUN_MS - STOPPED_AFTER_MS - 200)
    expect(world.upstreams.promotions.length).toEqual(1)
    const { id, ...answer } = await suite.settle(writing)
    const endedAt = performance.now()
    const operation: Operation = {
      id, type: 'write', session: 1, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt, answer
    }
    expect(checkOnePrimary(collectEvidence([operation], world.upstreams))).toEqual([])
    expect(operation.answer.failure?.kind).toEqual('in-doubt')
  })
})
