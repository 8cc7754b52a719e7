import { describe, it } from 'node:test'
import { deepEqual, equal } from 'node:assert/strict'
import { playStops } from '../fixtures/entry-processes/play-stops.ts'

describe('planned stops of entry processes, in series that overlap', () => {
  it('cut no request that a process has read, whatever its callers do', async () => {
    const { violations, requests, stops } = await playStops({
      seed: 1, hosts: 3, callers: 20, stops: 3, graceSeconds: 10
    })
    deepEqual(violations, [])
    equal(requests > 0 && stops >= 3, true)
  })
})
