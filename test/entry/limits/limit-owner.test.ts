import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { bucketParametersOf } from '../../../src/entry/limits/bucket-parameters.ts'
import { grantedByOrganisation } from '../../../src/entry/limits/granted-metric.ts'
import { createLimitOwner, type LimitOwner } from '../../../src/entry/limits/limit-owner.ts'
import { seenPartOf } from '../../../src/entry/limits/seen-part.ts'
import type { Organisation } from '../../../src/entry/ports/index.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const COUNTING = { windowSeconds: 5, tolerance: { part: 0.1, operations: 20 } }
const { depth, first, perSecond } = bucketParametersOf(LIMIT, COUNTING)

describe('the owner of limits', () => {
  let clock: Clock
  let owner: LimitOwner
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance'] })
    clock.tick(10_000)
    const organisations = new Map<string, Organisation>([
      ['red', { name: 'red', limit: LIMIT }], ['free', { name: 'free' }]
    ])
    owner = createLimitOwner({
      desiredState: () => ({ organisations }), counting: () => COUNTING, seenPart: () => 1
    })
  })
  afterEach(() => { clock.uninstall() })

  it('grants the whole depth when it has come first for a whole window', () => {
    expect(owner.grant('red', 100, { isFirst: true, exclusiveSince: 0 })?.granted).toEqual(Math.floor(depth))
  })

  it('begins small, with a quarter of the rate, when it has just become the first, and as a deputy', () => {
    for (const isFirst of [true, false]) {
      const exclusiveSince = performance.now()
      expect(owner.grant('red', 100, { isFirst, exclusiveSince })?.granted).toEqual(Math.min(first, Math.floor(depth / 4)))
      clock.tick(1000)
      expect(owner.grant('red', 100, { isFirst, exclusiveSince })?.granted).toEqual(Math.floor(perSecond / 4))
      clock.tick(5000)
    }
  })

  it('grants everything where there is no limit, and nothing to an organisation that it does not know', () => {
    const ownership = { isFirst: true, exclusiveSince: 0 }
    expect(owner.grant('free', 7, ownership)).toEqual({ granted: 7, retryAfterMs: 0 })
    expect(owner.grant('unknown', 7, ownership)).toEqual(undefined)
  })
})

describe('the part of all hosts that a host sees', () => {
  it('counts itself, those that answer or have requested lately, and silent ones, but none that it does not know', () => {
    const host = (reachability: 'answers' | 'silent' | 'unknown', isRecentRequester = false) =>
      ({ reachability, isRecentRequester })
    expect(seenPartOf([])).toEqual(1)
    expect(seenPartOf([host('unknown'), host('unknown')])).toEqual(1)
    expect(seenPartOf([host('answers'), host('silent'), host('silent')])).toEqual(0.5)
    expect(seenPartOf([host('unknown', true), host('silent'), host('silent')])).toEqual(0.5)
  })
})

describe('the metric of granted operations', () => {
  it('names the ten organisations that were granted most, and sums up the others', () => {
    const owned = new Map(Array.from({ length: 12 }, (_, index) =>
      [`o${index}`, { left: 0, granted: index + 1, refused: 0 }] as const))
    const granted = grantedByOrganisation(owned)
    expect([Object.keys(granted).length, granted['o11'], granted['others']]).toEqual([11, 12, 3])
  })
})
