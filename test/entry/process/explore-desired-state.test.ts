import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { desiredStatePlayer, drawn, explore, singles } from '../../fixtures/fleet/explorer.ts'
import { useFakeFleet } from '../../fixtures/fleet/world.ts'

/** Messages from the first change on that are disturbed, one at a time in every way. */
const POINTS = 30
/** Schedules with three disturbances that are drawn. */
const DRAWN = { count: 30, depth: 3, seed: 12 }

describe('desired states change while messages are lost, late, repeated or held', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  it('they only rise, and the last one comes in force: every single disturbance', async () => {
    expect(await explore(clock, desiredStatePlayer(), singles(POINTS))).toEqual([])
  })

  it('they only rise, and the last one comes in force: some of three', async () => {
    const schedules = drawn(DRAWN.count, DRAWN.depth, POINTS, DRAWN.seed)
    expect(await explore(clock, desiredStatePlayer(), schedules)).toEqual([])
  })

  it('they only rise when a read shows what was there before', async () => {
    expect(await explore(clock, desiredStatePlayer(), singles(POINTS, ['stale']))).toEqual([])
  })

  it('shows a seeded bug: every desired state counts as newer', async () => {
    const found = await explore(clock, desiredStatePlayer(true), singles(POINTS, ['stale']))
    expect(found.length > 0).toEqual(true)
  })
})
