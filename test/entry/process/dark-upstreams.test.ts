/**
 * Reads tried a replica that had gone dark for most of a second: of 35 reads 29 have a line `read.upstream-unavailable`
 * that says it cannot be reached in time, and were 100 ms late each. A read gives up waiting for a connection long
 * before the attempt to open one fails, and only that failure counted against the upstream. Now the wait counts as
 * well, for reads: only those that come while one waits try it too.
 *
 * Requests for a primary that had gone dark were refused as if it had too much work, and told to come back after 20 to
 * 100 ms: `no connection to g-a in time` for 0.6 s, until a probe had shown that it does not answer. Now the refusal
 * looks whether the primary has answered anything while they waited, and says when one may be there again.
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

describe('a primary that has gone dark', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])
  /** Time without any answer from which it counts as silent, in milliseconds. */
  const SILENT_MS = 300
  /** Least time to come back while a primary is lost, in milliseconds. */
  const LEAST_RETRY_MS = 300

  it('is not called busy once it has been silent, and callers are told when another one may lead', async () => {
    for (let write = 0; write < 20; write++) {
      await suite.settle(suite.world.connect('h1', 'money').write(), EACH_MS)
    }
    suite.world.hosts.forEach(({ name }) => suite.world.upstreams.all.get('g-a')!.cutOff.add(name))
    const refusals: Array<{ sentMs: number, message: string }> = []
    for (let sentMs = 0; sentMs < FIRST_MS; sentMs += EACH_MS) {
      void suite.world.connect('h1', 'money').write().then(({ failure }) => {
        if (failure?.kind === 'busy') {
          refusals.push({ sentMs, message: failure.message })
        }
      })
      await suite.clock.tickAsync(EACH_MS)
    }
    await suite.clock.tickAsync(2000)
    const late = refusals.filter(({ sentMs }) => sentMs > SILENT_MS - WAIT_MS + EACH_MS)
    expect(late.length > 10).toEqual(true)
    const tooSoon = late.filter(({ message }) => Number(/retry after (\d+) ms/.exec(message)?.[1]) < LEAST_RETRY_MS)
    expect(tooSoon).toEqual([])
  })
})
