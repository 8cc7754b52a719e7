import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { desiredStatePlayer, drawn, explore, singles } from '../../fixtures/fleet/explorer.ts'
import { useFakeFleet } from '../../fixtures/fleet/world.ts'

/** Number of messages after the first change that are disturbed, one at a time, in every way. */
const POINTS = 30
/** Randomly drawn schedules, with three disturbances each. */
const DRAWN = { count: 30, depth: 3, seed: 12 }

describe('desired state changes with lost, late, repeated or held messages', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  it('never decrease the version, and put the last one in force: each single disturbance', async () => {
    expect(await explore(clock, desiredStatePlayer(), singles(POINTS))).toEqual([])
  })

  it('never decrease the version, and put the last one in force: random schedules of three disturbances', async () => {
    const schedules = drawn(DRAWN.count, DRAWN.depth, POINTS, DRAWN.seed)
    expect(await explore(clock, desiredStatePlayer(), schedules)).toEqual([])
  })

  it('never decrease the version when a read is stale', async () => {
    expect(await explore(clock, desiredStatePlayer(), singles(POINTS, ['stale']))).toEqual([])
  })

  it('find a seeded bug: each desired state is taken for a newer one', async () => {
    const found = await explore(clock, desiredStatePlayer(true), singles(POINTS, ['stale']))
    expect(found.length > 0).toEqual(true)
  })
})
