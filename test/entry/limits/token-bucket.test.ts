import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as fastCheck from 'fast-check'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createTokenBucket } from '../../../src/entry/limits/token-bucket.ts'
import { bucketParametersOf } from '../../../src/entry/limits/bucket-parameters.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const WINDOW_MS = 5000
const TOLERANCE = { part: 0.1, operations: 20 }
const COUNTING = { windowSeconds: WINDOW_MS / 1000, tolerance: TOLERANCE }
const PARAMETERS = bucketParametersOf(LIMIT, COUNTING)
const LOWERED = bucketParametersOf(
  { perSecond: 1, burst: 4 }, { windowSeconds: 5, tolerance: { part: 0, operations: 0 } }
)
const DEPTH = Math.floor(PARAMETERS.depth)

/** Greatest number of grants in any window, the times in rising order. */
function mostInWindow (times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((time) => time >= from && time < from + WINDOW_MS).length))
}

describe('the token bucket of an organisation', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('begins small, fills with the rate up to the burst, and says when to come back', () => {
    const bucket = createTokenBucket(false)
    expect(bucket.grant(50, PARAMETERS, 1).granted).toEqual(PARAMETERS.first)
    clock.tick(2000)
    for (let turn = 0; turn < 40; turn++) {
      clock.tick(100)
      bucket.grant(1, PARAMETERS, 1)
    }
    clock.tick(100)
    expect(bucket.grant(100, PARAMETERS, 1).granted).toEqual(DEPTH)
    const refused = bucket.grant(1, PARAMETERS, 1)
    expect(refused.granted).toEqual(0)
    clock.tick(refused.retryAfterMs)
    expect(bucket.grant(1, PARAMETERS, 1).granted).toEqual(1)
  })

  it('tells those that it refuses to come back one after the other', () => {
    const bucket = createTokenBucket(false)
    bucket.grant(PARAMETERS.first, PARAMETERS, 1)
    const times = [1, 2, 3].map(() => bucket.grant(1, PARAMETERS, 1).retryAfterMs)
    expect(times[1]! > times[0]! && times[2]! > times[1]!).toEqual(true)
  })

  it('grants its whole depth at once where nothing can have been granted lately', () => {
    expect(createTokenBucket(true).grant(100, PARAMETERS, 1).granted).toEqual(DEPTH)
  })

  it('grants a part of its pace and of its depth to a host that sees a part of the others', () => {
    const bucket = createTokenBucket(true)
    expect(bucket.grant(100, PARAMETERS, 0.5).granted).toEqual(Math.floor(PARAMETERS.depth / 2))
    clock.tick(1000)
    expect(bucket.grant(100, PARAMETERS, 0.5).granted).toEqual(Math.floor(PARAMETERS.perSecond / 2))
  })

  it('falls at once when its limit falls', () => {
    const bucket = createTokenBucket(false)
    for (let turn = 0; turn < 60; turn++) {
      clock.tick(100)
      bucket.grant(1, PARAMETERS, 1)
    }
    expect(bucket.grant(100, LOWERED, 1).granted).toEqual(2)
  })

  it('grants the limit and a part of the tolerance in every window, whatever is asked for and when', () => {
    const ask = fastCheck.record({
      afterMs: fastCheck.integer({ min: 0, max: 1500 }), wanted: fastCheck.integer({ min: 1, max: 60 })
    })
    const asks = fastCheck.array(ask, { minLength: 1, maxLength: 120 })
    fastCheck.assert(fastCheck.property(asks, (asked) => {
      const bucket = createTokenBucket(false)
      const times: number[] = []
      for (const { afterMs, wanted } of asked) {
        clock.tick(afterMs)
        const { granted } = bucket.grant(wanted, PARAMETERS, 1)
        times.push(...Array.from({ length: granted }, () => performance.now()))
      }
      const limit = LIMIT.perSecond * WINDOW_MS / 1000 + LIMIT.burst
      return mostInWindow(times) <= limit * (1 + TOLERANCE.part / 2) + TOLERANCE.operations / 2
    }), { seed: 24, numRuns: 200 })
  })
})
