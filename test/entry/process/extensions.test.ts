import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { collectEvidence, checks, type Operation } from '../../fixtures/fleet/history.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

/** Interval between two writes at a host, in milliseconds. */
const WRITE_INTERVAL_MS = 100
const SEED = 2

describe('a lease that peers extend', () => {
  let restoreRandom: () => void
  beforeEach(() => { restoreRandom = seedRandom(SEED) })
  const suite = setUpWorld(['h1'], [MONEY, { ...MONEY, database: 'slow', timeoutMs: 10_000 }])
  afterEach(() => restoreRandom())

  const startHosts = async (hosts: string[]): Promise<void> => {
    for (const host of hosts) {
      await suite.world.startHost(host)
    }
  }
  const cutOffFromStore = (hosts: string[]): void => hosts.forEach((host) => suite.world.store.cutOff.add(host))
  const cutPrimaryFrom = (hosts: string[]): void =>
    hosts.forEach((host) => suite.world.upstreams.all.get('g-a')!.cutOff.add(host))

  /** Writes at a host for a while; returns the writes at the old primary after the promotion of another one. */
  const writeAt = async (
    host: string, ms: number, database = 'money', intervalMs = WRITE_INTERVAL_MS
  ): Promise<string[]> => {
    const operations: Operation[] = []
    const write = async (): Promise<void> => {
      const startedAt = performance.now()
      const { id, ...answer } = await suite.world.connect(host, database).write()
      const endedAt = performance.now()
      operations.push({
        id, type: 'write', session: 1, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt, answer
      })
    }
    for (let elapsed = 0; elapsed < ms; elapsed += intervalMs) {
      void write()
      await suite.clock.tickAsync(intervalMs)
    }
    await suite.clock.tickAsync(2000)
    return checks.checkOnePrimary(collectEvidence(operations, suite.world.upstreams))
  }

  const restart = async (hosts: string[]): Promise<void> => {
    for (const host of hosts) {
      await suite.world.kill(host)
      await suite.world.startHost(host)
    }
  }

  // Guards against peers that were restarted after a failover and extend a lease on the epoch before it.
  it('ends although the peers were restarted after its epoch was closed', async () => {
    const { world, clock } = suite
    const others = ['h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8']
    await startHosts(others)
    await clock.tickAsync(20_000)
    world.silent.add('h1')
    cutOffFromStore(['h1'])
    cutPrimaryFrom(others)
    // The neighbour of h1 is restarted in between, so that it does not retire h1.
    setTimeout(() => { void restart(['h8']) }, 3500)
    await writeAt('h2', 4000)
    expect(world.upstreams.promotions.length).toEqual(1)
    await restart(others)
    await clock.tickAsync(100)
    world.silent.delete('h1')
    world.lostTypes.add('registry-snapshot')
    const found = await writeAt('h1', 6000)
    expect(world.store.tables.get('worksward')!.get('host/h1')!.value.includes('retired')).toEqual(false)
    expect(found).toEqual([])
  })

  // Guards against a majority of the few hosts that a host knew when the store confirmed it last.
  it('is not extended beyond a failover by hosts that know none of those registered since', async () => {
    const { world, clock } = suite
    const later = ['h3', 'h4', 'h5', 'h6', 'h7', 'h8']
    await startHosts(['h2'])
    await clock.tickAsync(2000)
    cutOffFromStore(['h1', 'h2'])
    world.beyondCut.add('h1').add('h2')
    await startHosts(later)
    await clock.tickAsync(1000)
    cutPrimaryFrom(later)
    void writeAt('h3', 1000)
    const found = await writeAt('h1', 18_000)
    expect(world.upstreams.promotions.length).toEqual(1)
    expect(found).toEqual([])
  })

  // Guards against a statement in progress that outlasts the wait, since its host is still granted extensions.
  it('does not keep a statement in progress once a grant names its epoch as over', async () => {
    const { world, clock } = suite
    const others = ['h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8']
    await startHosts(others)
    await clock.tickAsync(20_000)
    await writeAt('h1', 100)
    world.upstreams.all.get('g-a')!.workMs = 7000
    const slow = writeAt('h1', 8000, 'slow', 8000)
    await clock.tickAsync(10)
    world.silent.add('h1')
    cutOffFromStore(['h1'])
    cutPrimaryFrom(others)
    void writeAt('h2', 3000)
    await clock.tickAsync(1000)
    world.lostTypes.add('close-group').add('registry-snapshot')
    world.silent.delete('h1')
    await clock.tickAsync(9000)
    expect(world.upstreams.promotions.length).toEqual(1)
    expect(await slow).toEqual([])
  })
})
