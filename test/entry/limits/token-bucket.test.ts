import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as fastCheck from 'fast-check'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createTokenBucket } from '../../../src/entry/limits/token-bucket.ts'
import { bucketParametersOf, type BucketParameters } from '../../../src/entry/limits/bucket-parameters.ts'
import type { Grant } from '../../../src/entry/limits/limit-frames.ts'
import { createPriorityGrants } from '../../../src/entry/limits/priority-grants.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const WINDOW_MS = 5000
const TOLERANCE = { part: 0.1, operations: 20 }
const COUNTING = { windowSeconds: WINDOW_MS / 1000, tolerance: TOLERANCE }
const PARAMETERS = bucketParametersOf(LIMIT, COUNTING)
const LOWERED = bucketParametersOf(
  { perSecond: 1, burst: 4 }, { windowSeconds: 5, tolerance: { part: 0, operations: 0 } }
)
const DEPTH = Math.floor(PARAMETERS.depth)

/** Creates a bucket that grants operations of one priority which do not wait. */
function createBucket (startsFull: boolean): {
  grant: (wanted: number, parameters: BucketParameters, share: number) => Grant
} {
  const bucket = createTokenBucket(startsFull)
  const grants = createPriorityGrants()
  return {
    grant: (wanted, parameters, share) =>
      grants.grant([{ priority: 0, wanted, maximumWaitMs: 0 }], 0, { bucket, parameters, share })
  }
}

/** Greatest number of grants in any window; `times` in ascending order. */
function mostInWindow (times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((time) => time >= from && time < from + WINDOW_MS).length))
}

describe('createTokenBucket', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('starts with few tokens, fills at its rate up to its depth, and returns the time to retry', () => {
    const bucket = createBucket(false)
    expect(bucket.grant(50, PARAMETERS, 1).granted).toEqual(PARAMETERS.initial)
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

  it('gives refused requests consecutive retry times', () => {
    const bucket = createBucket(false)
    bucket.grant(PARAMETERS.initial, PARAMETERS, 1)
    const times = [1, 2, 3].map(() => bucket.grant(1, PARAMETERS, 1).retryAfterMs)
    expect(times[1]! > times[0]! && times[2]! > times[1]!).toEqual(true)
  })

  it('grants its whole depth at once when it starts full', () => {
    expect(createBucket(true).grant(100, PARAMETERS, 1).granted).toEqual(DEPTH)
  })

  it('grants the given share of its rate and of its depth', () => {
    const bucket = createBucket(true)
    expect(bucket.grant(100, PARAMETERS, 0.5).granted).toEqual(Math.floor(PARAMETERS.depth / 2))
    clock.tick(500)
    const remainder = PARAMETERS.depth / 2 % 1
    expect(bucket.grant(100, PARAMETERS, 0.5).granted).toEqual(Math.floor(remainder + PARAMETERS.perSecond / 2 / 2))
  })

  it('does not keep the operations of a small bucket for the floor of a less urgent priority', () => {
    const bucket = createTokenBucket(true)
    const grants = createPriorityGrants()
    const inForce = { bucket, parameters: { perSecond: 3, depth: 1, initial: 1 }, share: 1 }
    grants.grant([{ priority: 0, wanted: 1, maximumWaitMs: 0 }], 0, inForce)
    grants.grant([{ priority: 1, wanted: 1, maximumWaitMs: 0 }], 0, inForce)
    let granted = 0
    for (let turn = 0; turn < 12; turn++) {
      clock.tick(400)
      granted += grants.grant([{ priority: 0, wanted: 1, maximumWaitMs: 0 }], 0, inForce).granted
    }
    expect(granted).toEqual(12)
  })

  it('applies a lower limit immediately', () => {
    const bucket = createBucket(false)
    for (let turn = 0; turn < 60; turn++) {
      clock.tick(100)
      bucket.grant(1, PARAMETERS, 1)
    }
    expect(bucket.grant(100, LOWERED, 1).granted).toEqual(Math.floor(LOWERED.depth))
  })

  it('grants at most the limit and a part of the tolerance in any window of random requests', () => {
    const request = fastCheck.record({
      afterMs: fastCheck.integer({ min: 0, max: 1500 }), wanted: fastCheck.integer({ min: 1, max: 60 })
    })
    const requests = fastCheck.array(request, { minLength: 1, maxLength: 120 })
    fastCheck.assert(fastCheck.property(requests, (sequence) => {
      const bucket = createBucket(false)
      const times: number[] = []
      for (const { afterMs, wanted } of sequence) {
        clock.tick(afterMs)
        const { granted } = bucket.grant(wanted, PARAMETERS, 1)
        times.push(...Array.from({ length: granted }, () => performance.now()))
      }
      const limit = LIMIT.perSecond * WINDOW_MS / 1000 + LIMIT.burst
      return mostInWindow(times) <= limit * (1 + TOLERANCE.part / 2) + TOLERANCE.operations / 2
    }), { seed: 24, numRuns: 200 })
  })
})
