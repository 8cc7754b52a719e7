import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { EXTENDED_RIGHT_MS, RIGHT_MARGIN_MS } from '../../src/registry/consts.ts'
import { useFakeFleet, World } from '../fixtures/fleet/world.ts'

describe('the time of a failover', () => {
  let clock: Clock
  let world: World

  beforeEach(async () => {
    useFakeFleet()
    clock = fakeTimers.install()
    world = new World()
    world.addGroup('g')
    world.configure([{ database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 }])
    for (const host of ['h1', 'h2', 'h3']) {
      await world.startHost(host)
    }
    await clock.tickAsync(3000)
  })
  afterEach(async () => {
    const closing = world.close()
    await clock.tickAsync(1000)
    await closing
    clock.uninstall()
  })

  /** Writes every 50 ms on the given hosts until one is acknowledged; returns how long that took. */
  const gapAfter = async (fault: () => void, hosts: string[]): Promise<number> => {
    for (const host of hosts) {
      const writing = world.connect(host, 'money').write()
      await clock.tickAsync(100)
      expect((await writing).failure).toEqual(undefined)
    }
    fault()
    const startedAt = performance.now()
    let endedAt = Infinity
    for (let turn = 0; turn < 400 && endedAt === Infinity; turn++) {
      void world.connect(hosts[turn % hosts.length]!, 'money').write().then(({ failure }) => {
        endedAt = failure === undefined ? Math.min(endedAt, performance.now()) : endedAt
      })
      await clock.tickAsync(50)
    }
    return endedAt - startedAt
  }
  const crashPrimary = (): void => world.upstreams.all.get('g-a')!.crash()
  const powerOff = (host: string): void => {
    world.silent.add(host)
    world.store.cutOff.add(host)
  }

  it('is short when every host answers', async () => {
    expect(await gapAfter(crashPrimary, ['h1', 'h2', 'h3']) < 1500).toEqual(true)
  })

  it('is short when the store does what it is told and does not say so', async () => {
    world.store.silentWrites = 4
    expect(await gapAfter(crashPrimary, ['h1', 'h2', 'h3']) < 3500).toEqual(true)
  })

  it('is short when a host is gone for good, once its right has lapsed', async () => {
    powerOff('h3')
    await clock.tickAsync(EXTENDED_RIGHT_MS + RIGHT_MARGIN_MS + 4000)
    expect(await gapAfter(crashPrimary, ['h1', 'h2']) < 1500).toEqual(true)
  })

  it('waits for the right of a host that has just fallen silent, among few', async () => {
    powerOff('h3')
    const gap = await gapAfter(crashPrimary, ['h1', 'h2'])
    expect(gap > EXTENDED_RIGHT_MS && gap < EXTENDED_RIGHT_MS + RIGHT_MARGIN_MS + 4000).toEqual(true)
  })

  it('waits no longer than a right lasts unextended, among many', async () => {
    for (const host of ['h4', 'h5']) {
      await world.startHost(host)
    }
    await clock.tickAsync(3000)
    powerOff('h3')
    const gap = await gapAfter(crashPrimary, ['h1', 'h2', 'h4', 'h5'])
    expect(gap > 2000 && gap < 6500).toEqual(true)
  })

  it('goes on without the store while a majority of the hosts hear each other', async () => {
    for (const host of ['h4', 'h5']) {
      await world.startHost(host)
    }
    await clock.tickAsync(3000)
    world.store.down = true
    await clock.tickAsync(9000)
    const writing = world.connect('h1', 'money').write()
    await clock.tickAsync(300)
    expect((await writing).failure).toEqual(undefined)
    world.silent.add('h1')
    await clock.tickAsync(4000)
    const alone = world.connect('h1', 'money').write()
    await clock.tickAsync(1000)
    expect((await alone).failure?.kind).toEqual('busy')
  })

  it('leaves a primary in place that a cut-off minority of the hosts cannot reach', async () => {
    world.upstreams.all.get('g-a')!.cutOff.add('h3')
    world.silent.add('h3')
    world.store.cutOff.add('h1')
    world.store.cutOff.add('h2')
    const lost = world.connect('h3', 'money').write()
    await clock.tickAsync(5000)
    expect((await lost).failure === undefined).toEqual(false)
    const writing = world.connect('h1', 'money').write()
    await clock.tickAsync(300)
    expect((await writing).failure).toEqual(undefined)
    expect(world.upstreams.promotions).toEqual([])
  })

  it('keeps a host at work that its neighbour does not hear but the store does', async () => {
    world.silent.add('h2')
    await clock.tickAsync(14_000)
    const writing = world.connect('h2', 'money').write()
    await clock.tickAsync(300)
    expect((await writing).failure).toEqual(undefined)
  })
})
