import { equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  connectionWaitMs, failoverWaitMs, acceptsNewWork, retryAfterMsOf
} from '../../../src/entry/requests/wait-rules.ts'

describe('how long a request waits', () => {
  it('waits for a failover until shortly before the deadline, or not at all if the primary is expected later', () => {
    equal(failoverWaitMs(900, 1000), 900)
    equal(failoverWaitMs(10, 1000), 900)
    equal(failoverWaitMs(901, 1000), 0)
  })

  it('waits for a connection for half of the time until the soft deadline, but at least 40 ms', () => {
    equal(connectionWaitMs(1000, 300), 150)
    equal(connectionWaitMs(1000, 60), 40)
    equal(connectionWaitMs(1000, -500), 40)
  })

  it('never waits for a connection longer than the given maximum', () => {
    equal(connectionWaitMs(100, 300), 100)
    equal(connectionWaitMs(1, 0), 1)
  })

  it('reports a retry delay of at least 300 ms, or the expected failover time if that is longer', () => {
    equal(retryAfterMsOf(0), 300)
    equal(retryAfterMsOf(299.6), 300)
    equal(retryAfterMsOf(1234.4), 1234)
  })
})

describe('whether an upstream accepts new work', () => {
  it('refuses new work from 1.5 s before the end of the drain time of a draining or missing upstream', () => {
    equal(acceptsNewWork({}, 5000, 1e9), true)
    equal(acceptsNewWork({ drainingSince: 1000 }, 5000, 4499), true)
    equal(acceptsNewWork({ drainingSince: 1000 }, 5000, 4500), false)
    equal(acceptsNewWork({ missingSince: 1000 }, 5000, 4500), false)
    equal(acceptsNewWork({ drainingSince: 2000, missingSince: 1000 }, 5000, 4500), false)
  })
})
