import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { equal } from 'node:assert/strict'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { playGroup, type Fault } from './group-load.ts'

describe('a group with one uneven upstream', () => {
  let clock: Clock
  beforeEach(() => {
    const random = xoroshiro128plus(5)
    mock.method(Math, 'random', () => uniformFloat64(random))
    clock = fakeTimers.install({
      toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']
    })
  })
  afterEach(() => {
    clock.uninstall()
    mock.restoreAll()
  })

  const play = async (faults: Record<string, Fault>): Promise<Record<'late' | 'failed' | 'refused', number>> => {
    const { asked, inTime, refused, failed } = await playGroup({
      clock, hosts: 27, durationMs: 20_000, weights: [1], rate: () => 1.6, faults
    })
    return { late: asked - inTime - refused - failed, failed, refused }
  }

  // Guards against reads that keep going to a slow upstream: 156 of 3975 requests were late or refused
  // without the judgement, and 72 without reports of waits.
  it('answers or refuses less than half as many requests late when a replica is five times slower', async () => {
    const { late, refused } = await play({ u1: { slowdown: 5 } })
    equal(late + refused < 65, true)
  })

  // Guards against an upstream with a good probe that fails its reads: 439 of 3975 failed without the judgement.
  it('answers less than half as many requests with a failure when a replica fails 0.4 of them', async () => {
    const { failed, late, refused } = await play({ u1: { failedPart: 0.4 } })
    equal(failed + late + refused < 439 / 2, true)
    equal(late + refused <= 1, true)
  })
})
