import { equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readCostMs, type ReadCandidate } from '../../../src/entry/requests/choose-upstream.ts'

/** Returns the cost of an idle replica in the local failure domain with an open connection, apart from the changes. */
function costOf (changes: Partial<ReadCandidate> = {}): number {
  return readCostMs({
    latencyMs: 10,
    busy: 0,
    slots: 4,
    isLocalDomain: true,
    isPrimary: false,
    throughHome: false,
    hasRoom: true,
    hasConnections: true,
    hasReachedPosition: true,
    lagging: false,
    avoided: false,
    ...changes
  })
}

describe('the cost of a read at an upstream', () => {
  it('is the latency, multiplied by one plus the ratio of busy to available slots', () => {
    equal(costOf(), 10)
    equal(costOf({ busy: 4 }), 20)
    equal(costOf({ busy: 6 }), 25)
  })

  it('is lower at a primary in the local failure domain than at a replica in another one', () => {
    equal(costOf({ isPrimary: true }), 22)
    equal(costOf({ isLocalDomain: false }), 35)
  })

  // Guards against reads that wait at a home with a queue while this host has little of its own in progress there.
  it('is the end that a home with a queue expects if that is later, and a primary with a queue is the last choice', () => {
    equal(costOf({ expectedEndMs: 70 }), 70)
    equal(costOf({ expectedEndMs: 8, busy: 4 }), 20)
    equal(costOf({ expectedEndMs: 11, isPrimary: true }) > costOf({ isLocalDomain: false }), true)
  })

  it('includes connection penalties only if the read is not forwarded to a home', () => {
    equal(costOf({ hasRoom: false }), 35)
    equal(costOf({ hasRoom: false, hasConnections: false }), 435)
    equal(costOf({ hasRoom: false, hasConnections: false, throughHome: true }), 10)
  })

  it('is high at a replica that lagged, unless it is known to have reached the position', () => {
    equal(costOf({ lagging: true }), 10)
    equal(costOf({ lagging: true, hasReachedPosition: false }), 410)
    equal(costOf({ hasReachedPosition: false }), 10)
  })

  it('is highest at an upstream that failed recently', () => {
    equal(costOf({ avoided: true }), 5010)
  })
})
