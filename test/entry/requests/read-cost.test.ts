import { equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readCostMs, type ReadCandidate } from '../../../src/entry/requests/choose-upstream.ts'

/** A replica nearby that is idle, with an open connection. */
function costWith (changes: Partial<ReadCandidate> = {}): number {
  return readCostMs({
    latencyMs: 10,
    busy: 0,
    slots: 4,
    isLocalDomain: true,
    isPrimary: false,
    throughHome: false,
    hasRoom: true,
    hasConnections: true,
    hasReached: true,
    lagging: false,
    avoided: false,
    ...changes
  })
}

describe('the cost of a read at an upstream', () => {
  it('is its time, and a time more for each full set of slots that is busy', () => {
    equal(costWith(), 10)
    equal(costWith({ busy: 4 }), 20)
    equal(costWith({ busy: 6 }), 25)
  })

  it('is less at the primary nearby than at a replica in another failure domain', () => {
    equal(costWith({ isPrimary: true }), 22)
    equal(costWith({ isLocalDomain: false }), 35)
  })

  it('counts the connections of this host only where no home carries the read', () => {
    equal(costWith({ hasRoom: false }), 35)
    equal(costWith({ hasRoom: false, hasConnections: false }), 435)
    equal(costWith({ hasRoom: false, hasConnections: false, throughHome: true }), 10)
  })

  it('is high at a replica that lagged, unless it is known to have what the read must find', () => {
    equal(costWith({ lagging: true }), 10)
    equal(costWith({ lagging: true, hasReached: false }), 410)
    equal(costWith({ hasReached: false }), 10)
  })

  it('is highest at an upstream that failed lately', () => {
    equal(costWith({ avoided: true }), 5010)
  })
})
