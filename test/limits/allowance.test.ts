import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as fastCheck from 'fast-check'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createAllowance } from '../../src/limits/allowance.ts'
import { FIRST_ALLOWANCE } from '../../src/limits/consts.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const WINDOW_MS = 5000

/** Greatest number of grants in any window, the times in rising order. */
function mostInWindow (times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((time) => time >= from && time < from + WINDOW_MS).length))
}

describe('the allowance of an organisation', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('begins small, fills with the rate up to the burst, and says when to come back', () => {
    const allowance = createAllowance()
    expect(allowance.grant(50, LIMIT, 1).granted).toEqual(FIRST_ALLOWANCE)
    clock.tick(2000)
    for (let turn = 0; turn < 40; turn++) {
      clock.tick(100)
      allowance.grant(1, LIMIT, 1)
    }
    clock.tick(100)
    expect(allowance.grant(100, LIMIT, 1).granted).toEqual(LIMIT.burst)
    const refused = allowance.grant(1, LIMIT, 1)
    expect(refused.granted).toEqual(0)
    clock.tick(refused.retryAfterMs)
    expect(allowance.grant(1, LIMIT, 1).granted).toEqual(1)
  })

  it('tells those that it refuses to come back one after the other', () => {
    const allowance = createAllowance()
    allowance.grant(FIRST_ALLOWANCE, LIMIT, 1)
    const times = [1, 2, 3].map(() => allowance.grant(1, LIMIT, 1).retryAfterMs)
    expect(times[1]! > times[0]! && times[2]! > times[1]!).toEqual(true)
  })

  it('grants no more than it began with after nobody has asked for a while', () => {
    const allowance = createAllowance()
    allowance.grant(50, LIMIT, 1)
    clock.tick(4000)
    expect(allowance.grant(100, LIMIT, 1).granted).toEqual(FIRST_ALLOWANCE)
  })

  it('falls at once when its limit falls', () => {
    const allowance = createAllowance()
    for (let turn = 0; turn < 60; turn++) {
      clock.tick(100)
      allowance.grant(1, LIMIT, 1)
    }
    expect(allowance.grant(100, { perSecond: 1, burst: 2 }, 1).granted).toEqual(2)
  })

  it('grants the rate and the burst in every window, whatever is asked for and when', () => {
    const ask = fastCheck.record({
      afterMs: fastCheck.integer({ min: 0, max: 1500 }), wanted: fastCheck.integer({ min: 1, max: 60 })
    })
    const asks = fastCheck.array(ask, { minLength: 1, maxLength: 120 })
    fastCheck.assert(fastCheck.property(asks, (asked) => {
      const allowance = createAllowance()
      const times: number[] = []
      for (const { afterMs, wanted } of asked) {
        clock.tick(afterMs)
        const { granted } = allowance.grant(wanted, LIMIT, 1)
        times.push(...Array.from({ length: granted }, () => performance.now()))
      }
      return mostInWindow(times) <= LIMIT.perSecond * WINDOW_MS / 1000 + LIMIT.burst
    }), { seed: 24, numRuns: 200 })
  })
})
