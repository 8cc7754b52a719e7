import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as fastCheck from 'fast-check'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createAllowance } from '../../../src/entry/limits/allowance.ts'
import { paceOf } from '../../../src/entry/limits/pace.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const WINDOW_MS = 5000
const TOLERANCE = { part: 0.1, operations: 20 }
const COUNTING = { windowSeconds: WINDOW_MS / 1000, tolerance: TOLERANCE }
const PACE = paceOf(LIMIT, COUNTING)
const LOWERED = paceOf({ perSecond: 1, burst: 4 }, { windowSeconds: 5, tolerance: { part: 0, operations: 0 } })
const DEPTH = Math.floor(PACE.depth)

/** Greatest number of grants in any window, the times in rising order. */
function mostInWindow (times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((time) => time >= from && time < from + WINDOW_MS).length))
}

describe('the allowance of an organisation', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('begins small, fills with the rate up to the burst, and says when to come back', () => {
    const allowance = createAllowance(false)
    expect(allowance.grant(50, PACE, 1).granted).toEqual(PACE.first)
    clock.tick(2000)
    for (let turn = 0; turn < 40; turn++) {
      clock.tick(100)
      allowance.grant(1, PACE, 1)
    }
    clock.tick(100)
    expect(allowance.grant(100, PACE, 1).granted).toEqual(DEPTH)
    const refused = allowance.grant(1, PACE, 1)
    expect(refused.granted).toEqual(0)
    clock.tick(refused.retryAfterMs)
    expect(allowance.grant(1, PACE, 1).granted).toEqual(1)
  })

  it('tells those that it refuses to come back one after the other', () => {
    const allowance = createAllowance(false)
    allowance.grant(PACE.first, PACE, 1)
    const times = [1, 2, 3].map(() => allowance.grant(1, PACE, 1).retryAfterMs)
    expect(times[1]! > times[0]! && times[2]! > times[1]!).toEqual(true)
  })

  it('grants its whole depth at once where nothing can have been granted lately', () => {
    expect(createAllowance(true).grant(100, PACE, 1).granted).toEqual(DEPTH)
  })

  it('grants a part of its pace and of its depth to a host that sees a part of the others', () => {
    const allowance = createAllowance(true)
    expect(allowance.grant(100, PACE, 0.5).granted).toEqual(Math.floor(PACE.depth / 2))
    clock.tick(1000)
    expect(allowance.grant(100, PACE, 0.5).granted).toEqual(Math.floor(PACE.perSecond / 2))
  })

  it('falls at once when its limit falls', () => {
    const allowance = createAllowance(false)
    for (let turn = 0; turn < 60; turn++) {
      clock.tick(100)
      allowance.grant(1, PACE, 1)
    }
    expect(allowance.grant(100, LOWERED, 1).granted).toEqual(2)
  })

  it('grants the limit and a part of the tolerance in every window, whatever is asked for and when', () => {
    const ask = fastCheck.record({
      afterMs: fastCheck.integer({ min: 0, max: 1500 }), wanted: fastCheck.integer({ min: 1, max: 60 })
    })
    const asks = fastCheck.array(ask, { minLength: 1, maxLength: 120 })
    fastCheck.assert(fastCheck.property(asks, (asked) => {
      const allowance = createAllowance(false)
      const times: number[] = []
      for (const { afterMs, wanted } of asked) {
        clock.tick(afterMs)
        const { granted } = allowance.grant(wanted, PACE, 1)
        times.push(...Array.from({ length: granted }, () => performance.now()))
      }
      const limit = LIMIT.perSecond * WINDOW_MS / 1000 + LIMIT.burst
      return mostInWindow(times) <= limit * (1 + TOLERANCE.part / 2) + TOLERANCE.operations / 2
    }), { seed: 24, numRuns: 200 })
  })
})
