import { equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  connectionWaitMs, failoverWaitMs, mayTakeWork, retryAfterMsOf
} from '../../../src/entry/requests/wait-rules.ts'

describe('how long a request waits', () => {
  it('is nearly all of its time for a primary that is expected by then, else nothing', () => {
    equal(failoverWaitMs(900, 1000), 900)
    equal(failoverWaitMs(10, 1000), 900)
    equal(failoverWaitMs(901, 1000), 0)
  })

  it('is half of the time for an answer in time for a connection, 40 ms at least', () => {
    equal(connectionWaitMs(1000, 300), 150)
    equal(connectionWaitMs(1000, 60), 40)
    equal(connectionWaitMs(1000, -500), 40)
  })

  it('is never more for a connection than the requester allows', () => {
    equal(connectionWaitMs(100, 300), 100)
    equal(connectionWaitMs(1, 0), 1)
  })

  it('is told to callers as the time of a promotion, or as the expected time when that is longer', () => {
    equal(retryAfterMsOf(0), 300)
    equal(retryAfterMsOf(299.6), 300)
    equal(retryAfterMsOf(1234.4), 1234)
  })
})

describe('whether an upstream gets new work', () => {
  it('ends 1.5 s before the drain time of one that is leaving or missing', () => {
    equal(mayTakeWork({}, 5000, 1e9), true)
    equal(mayTakeWork({ drainingSince: 1000 }, 5000, 4499), true)
    equal(mayTakeWork({ drainingSince: 1000 }, 5000, 4500), false)
    equal(mayTakeWork({ missingSince: 1000 }, 5000, 4500), false)
    equal(mayTakeWork({ drainingSince: 2000, missingSince: 1000 }, 5000, 4500), false)
  })
})
