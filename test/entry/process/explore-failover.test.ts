import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { drawn, explore, pairsWithLost, singles, failoverPlayer } from '../../fixtures/fleet/explorer.ts'
import { useFakeFleet } from '../../fixtures/fleet/world.ts'

/** Messages from the cut on that are disturbed, one at a time in every way: all of a failover and some after it. */
const POINTS = 46
/** Schedules with three disturbances that are drawn. */
const DRAWN = { count: 30, depth: 3, seed: 12 }

describe('a primary is replaced while messages are lost, late, repeated or held', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  const pairsWithLostOrders = async () => {
    const { points } = await failoverPlayer()(clock, [])
    return pairsWithLost(points.slice(0, POINTS), 'close-group')
  }

  it('leaves one primary and all that was acknowledged: every single disturbance', async () => {
    expect(await explore(clock, failoverPlayer(), singles(POINTS))).toEqual([])
  })

  it('leaves one primary and all that was acknowledged: some of three', async () => {
    const schedules = drawn(DRAWN.count, DRAWN.depth, POINTS, DRAWN.seed)
    expect(await explore(clock, failoverPlayer(), schedules)).toEqual([])
  })

  it('leaves one primary when an order to stop is lost with any later message', async () => {
    expect(await explore(clock, failoverPlayer(), await pairsWithLostOrders())).toEqual([])
  })

  it('shows a seeded bug: a lost order to stop counts as obeyed', async () => {
    const found = await explore(clock, failoverPlayer(true), await pairsWithLostOrders())
    expect(found.length > 0).toEqual(true)
  })
})
