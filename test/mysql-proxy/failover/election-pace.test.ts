import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createElectionPace } from '../../../src/mysql-proxy/failover/election-pace.ts'
import { readPreVote } from '../../../src/mysql-proxy/failover/pre-vote.ts'
import type { UpstreamStatus } from '../../../src/mysql-proxy/upstreams/status.ts'

describe('pace of elections', () => {
  const createPace = (random = 0.5) => {
    const clock = { nowMs: 1000 }
    return { clock, pace: createElectionPace({ firstWaitMs: 100, now: () => clock.nowMs, random: () => random }) }
  }

  it('waits longer after each failed election, up to a bound', () => {
    const { clock, pace } = createPace(1)
    const waits = Array.from({ length: 6 }, () => {
      pace.failed(0)
      const failedAt = clock.nowMs
      while (!pace.isRested) {
        clock.nowMs++
      }
      return clock.nowMs - failedAt
    })
    expect(waits).toEqual([100, 200, 400, 800, 800, 800])
    pace.reset()
    pace.failed(0)
    clock.nowMs += 100
    expect(pace.isRested).toEqual(true)
  })

  it('draws different waits for keepers that failed together', () => {
    const [early, late] = [createPace(0), createPace(0.99)]
    early.pace.failed(0)
    late.pace.failed(0)
    early.clock.nowMs += 60
    late.clock.nowMs += 60
    expect([early.pace.isRested, late.pace.isRested]).toEqual([true, false])
  })

  it('leaves time to an election of another keeper, and no more to one that has stalled', () => {
    const { clock, pace } = createPace()
    expect(pace.yieldsTo(0)).toEqual(false)
    expect(pace.yieldsTo(4)).toEqual(true)
    clock.nowMs += 499
    expect(pace.yieldsTo(4)).toEqual(true)
    clock.nowMs += 1
    expect(pace.yieldsTo(4)).toEqual(false)
    expect(pace.yieldsTo(5)).toEqual(true)
  })

  it('does not wait for its own unfinished election', () => {
    const { pace } = createPace()
    pace.failed(4)
    expect([pace.unfinishedTerm, pace.yieldsTo(4), pace.yieldsTo(5)]).toEqual([4, false, true])
    pace.reset()
    expect(pace.unfinishedTerm).toEqual(0)
  })
})

describe('questions before an election', () => {
  const status = (fields: Partial<UpstreamStatus>): UpstreamStatus => ({
    term: 3, fencedTerm: 3, logTerm: 3, position: 9, role: 'replica', primary: 'a', incarnation: 'i', leaving: false, ...fields
  })

  it('tells that the primary answers, unless it is fenced', () => {
    expect(readPreVote(3, [status({ role: 'primary' }), status({})])).toEqual({ primaryAnswers: true, openTerm: 0 })
    expect(readPreVote(3, [status({}), status({})])).toEqual({ primaryAnswers: false, openTerm: 0 })
    expect(readPreVote(3, [status({ role: 'primary', fencedTerm: 4 }), status({})]))
      .toEqual({ primaryAnswers: false, openTerm: 4 })
  })

  it('tells the term of an election without a primary', () => {
    expect(readPreVote(3, [status({ fencedTerm: 5 }), status({ fencedTerm: 4 })]).openTerm).toEqual(5)
    expect(readPreVote(3, [status({ fencedTerm: 5 }), status({ term: 5, fencedTerm: 5, role: 'primary' })]).openTerm)
      .toEqual(0)
  })
})
