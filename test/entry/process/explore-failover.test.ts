import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { drawn, explore, pairsWithLost, singles, failoverPlayer } from '../../fixtures/fleet/explorer.ts'
import { useFakeFleet } from '../../fixtures/fleet/world.ts'

/** Number of messages after the cut that are disturbed, one at a time in every way: a failover and some after it. */
const POINTS = 46
/** Random schedules with several disturbances each. */
const RANDOM_SCHEDULES = { count: 30, depth: 3, seed: 12 }

describe('a failover while messages are lost, delayed, repeated or held', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  const pairsWithLostStopRequests = async () => {
    const { points } = await failoverPlayer()(clock, [])
    return pairsWithLost(points.slice(0, POINTS), 'close-group')
  }

  it('leaves one primary and all acknowledged writes after every single disturbance', async () => {
    expect(await explore(clock, failoverPlayer(), singles(POINTS))).toEqual([])
  })

  it('leaves one primary and all acknowledged writes after random triples of disturbances', async () => {
    const schedules = drawn(RANDOM_SCHEDULES.count, RANDOM_SCHEDULES.depth, POINTS, RANDOM_SCHEDULES.seed)
    expect(await explore(clock, failoverPlayer(), schedules)).toEqual([])
  })

  it('leaves one primary if a request to stop is lost together with any later message', async () => {
    expect(await explore(clock, failoverPlayer(), await pairsWithLostStopRequests())).toEqual([])
  })

  it('detects a seeded bug: a lost request to stop counts as acknowledged', async () => {
    const violations = await explore(clock, failoverPlayer(true), await pairsWithLostStopRequests())
    expect(violations.length > 0).toEqual(true)
  })
})
