/**
 * Reads tried a replica that had gone dark for most of a second: of 35 reads 29 have a line `read.upstream-unavailable`
 * that says it cannot be reached in time, and were 100 ms late each. A read gives up waiting for a connection long before
 * the attempt to open one fails, and only that failure counted against the upstream. Now the wait counts as well, for
 * reads: only those that come while one waits try it too.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
/** Time between two requests, in milliseconds. */
const EACH_MS = 20
/** Time in which the upstream is not yet known to be unreachable, in milliseconds: a connection may take that long. */
const FIRST_MS = 700
/** Time for which an upstream that did not answer is avoided, in milliseconds. */
const AVOIDED_MS = 250
/** Time that a read waits for a connection, in milliseconds: half of its route's target. */
const WAIT_MS = 100

describe('a replica that has gone dark', () => {
  const suite = setUpWorld(['h1'], [MONEY, VIEW])

  it('is tried by one read now and then before connections to it have failed, not by each', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 300)
    suite.world.upstreams.all.get('g-a')!.workMs = 40
    suite.world.upstreams.all.get('g-c')!.workMs = 40
    suite.world.upstreams.all.get('g-b')!.cutOff.add('h1')
    let unavailable = 0
    suite.world.logger = { log: (_level, event) => { unavailable += event === 'read.upstream-unavailable' ? 1 : 0 } }
    const failures: string[] = []
    for (let sent = 0; sent < FIRST_MS; sent += EACH_MS) {
      void suite.world.connect('h1', 'view').read().then(({ failure }) => { failures.push(failure?.kind ?? 'done') })
      await suite.clock.tickAsync(EACH_MS)
    }
    await suite.clock.tickAsync(1000)
    expect(failures.filter((kind) => kind !== 'done')).toEqual([])
    const tries = Math.ceil(FIRST_MS / (AVOIDED_MS + WAIT_MS))
    expect(unavailable <= tries * WAIT_MS / EACH_MS).toEqual(true)
  })
})
