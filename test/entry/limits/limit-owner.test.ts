import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { bucketParametersOf } from '../../../src/entry/limits/bucket-parameters.ts'
import { grantedByOrganisation } from '../../../src/entry/limits/granted-metric.ts'
import { createLimitOwner, type LimitOwner } from '../../../src/entry/limits/limit-owner.ts'
import { reachableShareOf } from '../../../src/entry/limits/seen-part.ts'
import type { Organisation } from '../../../src/entry/ports/index.ts'

const LIMIT = { perSecond: 20, burst: 40 }
const COUNTING = { windowSeconds: 5, tolerance: { part: 0.1, operations: 20 } }
const { depth, initial, perSecond } = bucketParametersOf(LIMIT, COUNTING)

describe('createLimitOwner', () => {
  let clock: Clock
  let owner: LimitOwner
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance'] })
    clock.tick(10_000)
    const organisations = new Map<string, Organisation>([
      ['red', { name: 'red', limit: LIMIT }], ['free', { name: 'free' }]
    ])
    owner = createLimitOwner({
      desiredState: () => ({ organisations }), counting: () => COUNTING, reachableShare: () => 1
    })
  })
  afterEach(() => { clock.uninstall() })

  it('grants the whole depth when it has been the owner for a whole window', () => {
    expect(owner.grant('red', 100, { isFirst: true, exclusiveSince: 0 })?.granted).toEqual(Math.floor(depth))
  })

  it('grants few operations at first and then a quarter of the rate, as a new owner and as a fallback owner', () => {
    for (const isFirst of [true, false]) {
      const exclusiveSince = performance.now()
      expect(owner.grant('red', 100, { isFirst, exclusiveSince })?.granted).toEqual(Math.min(initial, Math.floor(depth / 4)))
      // A quarter of the depth holds less than the inflow of a second.
      clock.tick(500)
      expect(owner.grant('red', 100, { isFirst, exclusiveSince })?.granted).toEqual(Math.floor(perSecond / 4 / 2))
      clock.tick(5000)
    }
  })

  it('grants each priority its floor, also one that waits less than a more urgent one', () => {
    // A more urgent priority with a longer wait drew the bucket so low that no turn came in time for the other one.
    for (const [urgentWaitMs, maximumWaitMs] of [[125, 250], [600, 50], [600, 300], [125, 0]] as const) {
      clock.tick(20_000)
      let granted = 0
      for (let turn = 0; turn < 1000; turn++) {
        clock.tick(10)
        const requests = [
          { priority: 0, wanted: 1, maximumWaitMs: urgentWaitMs }, { priority: 1, wanted: 1, maximumWaitMs }
        ]
        const grant = owner.grant('red', 2, { isFirst: true, exclusiveSince: 0 }, requests)!
        granted += grant.byPriority!.find(({ priority }) => priority === 1)!.granted
      }
      expect([urgentWaitMs, granted >= Math.floor(perSecond * 0.05 * 10)]).toEqual([urgentWaitMs, true])
    }
  })

  it('grants the whole rate after a common start, as if the processes before it had left an empty bucket', () => {
    const earlierEndedAt = performance.now()
    clock.tick(200)
    const ownership = { isFirst: true, exclusiveSince: performance.now(), earlierEndedAt }
    expect(owner.grant('red', 100, ownership)?.granted).toEqual(Math.floor(initial + perSecond / 5))
    clock.tick(400)
    expect(owner.grant('red', 100, ownership)?.granted).toEqual(Math.floor(perSecond * 0.4))
  })

  it('does not fill a bucket that replaces another one for the time before', () => {
    const earlierEndedAt = performance.now()
    clock.tick(1000)
    owner.grant('red', 100, { isFirst: true, exclusiveSince: performance.now(), earlierEndedAt })
    clock.tick(1500)
    const replaced = owner.grant('red', 100, { isFirst: true, exclusiveSince: performance.now(), earlierEndedAt })
    expect(replaced?.granted).toEqual(initial)
  })

  it('grants everything when there is no limit, and nothing to an unknown organisation', () => {
    const ownership = { isFirst: true, exclusiveSince: 0 }
    expect(owner.grant('free', 7, ownership)).toEqual({ granted: 7, retryAfterMs: 0 })
    expect(owner.grant('unknown', 7, ownership)).toEqual(undefined)
  })
})

describe('reachableShareOf', () => {
  it('counts this host, hosts that answer or have sent requests recently, and silent hosts, but no unknown ones', () => {
    const host = (reachability: 'answers' | 'silent' | 'unknown', isRecentRequester = false) =>
      ({ reachability, isRecentRequester })
    expect(reachableShareOf([])).toEqual(1)
    expect(reachableShareOf([host('unknown'), host('unknown')])).toEqual(1)
    expect(reachableShareOf([host('answers'), host('silent'), host('silent')])).toEqual(0.5)
    expect(reachableShareOf([host('unknown', true), host('silent'), host('silent')])).toEqual(0.5)
  })
})

describe('grantedByOrganisation', () => {
  it('lists the ten organisations with the most grants, and the sum of the others', () => {
    const owned = new Map(Array.from({ length: 12 }, (_, index) =>
      [`o${index}`, { left: 0, granted: index + 1, refused: 0 }] as const))
    const granted = grantedByOrganisation(owned)
    expect([Object.keys(granted).length, granted['o11'], granted['others']]).toEqual([11, 12, 3])
  })
})
