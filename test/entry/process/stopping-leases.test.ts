import { describe, it } from 'node:test'
import { expect } from 'earl'
import { registryKeys, REGISTRY_TABLE } from '../../../src/entry/registry/types.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Interval between two writes of the caller, in milliseconds; short enough to keep its session open. */
const WRITE_INTERVAL_MS = 20

describe('an entry process that stops while a caller goes on', () => {
  const suite = setUpWorld(['h1'])

  // Once the row is gone, no failover waits for this host.
  it('runs nothing at a primary once its row can have been removed', async () => {
    const { world, clock } = suite
    const host = world.hosts.get('h1')!
    const caller = world.connect('h1', 'money')
    const stopping = host.kernel.stop()
    host.running = false
    await clock.tickAsync(500)
    world.store.silentWrites = 1
    let removedAt = Infinity
    while (host.closedAt === Infinity) {
      void caller.write()
      await clock.tickAsync(WRITE_INTERVAL_MS)
      if (removedAt === Infinity && !world.store.tables.get(REGISTRY_TABLE)!.has(registryKeys.host('h1'))) {
        removedAt = performance.now()
      }
    }
    await clock.tickAsync(1000)
    await stopping
    expect(removedAt < host.closedAt - 200).toEqual(true)
    expect(world.upstreams.runs.length > 50).toEqual(true)
    expect(world.upstreams.runs.filter(({ at }) => at > removedAt).length).toEqual(0)
  })
})
