import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { useFakeFleet, World } from '../fixtures/fleet/world.ts'

describe('a planned stop of an entry process', () => {
  let clock: Clock
  let world: World

  beforeEach(async () => {
    useFakeFleet()
    clock = fakeTimers.install()
    world = new World()
    world.addGroup('g')
    world.configure([{ database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 }])
    await world.startHost('h1')
    await clock.tickAsync(3000)
  })
  afterEach(async () => {
    const closing = world.close()
    await clock.tickAsync(1000)
    await closing
    clock.uninstall()
  })

  it('serves a caller that connects at the last moment before it ends', async () => {
    const host = world.hosts.get('h1')!
    let answeredAt = Infinity
    host.beforeStopAccepting = () => {
      void world.connect('h1', 'money').write().then(({ failure }) => {
        answeredAt = failure === undefined ? performance.now() : Infinity
      })
    }
    const stopping = host.kernel.stop()
    host.running = false
    await clock.tickAsync(8000)
    await stopping
    expect(answeredAt < host.closedAt).toEqual(true)
  })

  it('gives an open transaction half of its time, and then says that nothing is kept', async () => {
    const host = world.hosts.get('h1')!
    const caller = world.connect('h1', 'money')
    const step = async <Value>(pending: Promise<Value>, ms: number): Promise<Value> => {
      await clock.tickAsync(ms)
      return await pending
    }
    await step(caller.send({ type: 'begin', readOnly: false }), 10)
    const stopping = host.kernel.stop()
    host.running = false
    expect((await step(caller.write(), 1500)).failure).toEqual(undefined)
    expect((await step(caller.write(), 1000)).failure).toEqual(undefined)
    await clock.tickAsync(600)
    expect((await step(caller.write(), 100)).failure?.kind).toEqual('aborted')
    await clock.tickAsync(5000)
    await stopping
    expect(world.upstreams.all.get('g-a')!.log).toEqual([])
  })

  it('ends in time although the store does not answer', async () => {
    const host = world.hosts.get('h1')!
    world.store.answerMs = 60_000
    const startedAt = performance.now()
    const stopping = host.kernel.stop().then(() => performance.now() - startedAt)
    host.running = false
    await clock.tickAsync(70_000)
    expect(await stopping < 6000).toEqual(true)
  })
})
