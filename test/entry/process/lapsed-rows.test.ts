import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

/**
 * Rows of upstreams expire while the store is unavailable and are written again within 2 s of its return. A host that
 * starts meanwhile has never seen the row of the primary; it took the primary for gone and started a failover, while
 * all other hosts still knew the primary and it was serving.
 */
describe('a host that starts while rows of upstreams have expired', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])
  const rowAt = (host: string): object => {
    const { primary, epoch, state } = suite.world.hosts.get(host)!.kernel.use('registry').current.group('g').row!
    return { primary, epoch, state }
  }

  it('starts no failover when the row of the primary is written again within 2 s', async () => {
    const { world, clock } = suite
    world.store.remove('servers', 'g-a')
    await clock.tickAsync(100)
    await world.startHost('h4')
    await clock.tickAsync(1900)
    world.announce(world.upstreams.all.get('g-a')!)
    await clock.tickAsync(5000)
    expect(world.arrivedOrders).toEqual([])
    expect(rowAt('h4')).toEqual({ primary: 'g-a', epoch: 1, state: 'open' })
  })

  it('replaces a primary whose row stays missing, also when no other host knows of it', async () => {
    const { world, clock } = suite
    for (const host of ['h1', 'h2', 'h3']) {
      await world.kill(host)
    }
    world.store.remove('servers', 'g-a')
    await world.startHost('h4')
    await clock.tickAsync(25_000)
    expect(world.arrivedOrders.map(({ holder }) => holder)).toEqual(['h4'])
    expect(rowAt('h4')).toEqual({ primary: 'g-b', epoch: 2, state: 'open' })
  })
})
