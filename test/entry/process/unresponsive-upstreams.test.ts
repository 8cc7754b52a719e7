/**
 * Guards against reads that keep trying an unresponsive replica until its connection attempts fail, and against
 * reporting an unresponsive primary as busy with a retry delay too short for a failover.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 20
/** Time before the upstream is known to be unreachable, in milliseconds: the timeout of a connection attempt. */
const DETECTION_MS = 700
/** Time for which an upstream without an answer is avoided, in milliseconds. */
const AVOIDED_MS = 250
/** Time that a read waits for a connection, in milliseconds: half of its route's target. */
const WAIT_MS = 100

describe('an unresponsive replica', () => {
  const suite = setUpWorld(['h1'], [MONEY, VIEW])

  it('is tried by few reads before connection attempts to it have failed', async () => {
    await suite.settle(suite.world.connect('h1', 'money').write(), 300)
    suite.world.upstreams.all.get('g-a')!.workMs = 40
    suite.world.upstreams.all.get('g-c')!.workMs = 40
    suite.world.upstreams.all.get('g-b')!.cutOff.add('h1')
    let unavailable = 0
    suite.world.logger = { log: (_level, event) => { unavailable += event === 'read.upstream-unavailable' ? 1 : 0 } }
    const failures: string[] = []
    for (let sent = 0; sent < DETECTION_MS; sent += REQUEST_INTERVAL_MS) {
      void suite.world.connect('h1', 'view').read().then(({ failure }) => { failures.push(failure?.kind ?? 'done') })
      await suite.clock.tickAsync(REQUEST_INTERVAL_MS)
    }
    await suite.clock.tickAsync(1000)
    expect(failures.filter((kind) => kind !== 'done')).toEqual([])
    const maximumTries = Math.ceil(DETECTION_MS / (AVOIDED_MS + WAIT_MS))
    expect(unavailable <= maximumTries * WAIT_MS / REQUEST_INTERVAL_MS).toEqual(true)
  })
})

describe('an unresponsive primary', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])
  /** Time without any answer after which it counts as silent, in milliseconds. */
  const SILENCE_MS = 300
  /** Minimum retry delay during a failover, in milliseconds. */
  const MINIMUM_RETRY_MS = 300

  it('is not reported with the short retry delay of a busy queue once it counts as silent', async () => {
    for (let write = 0; write < 20; write++) {
      await suite.settle(suite.world.connect('h1', 'money').write(), REQUEST_INTERVAL_MS)
    }
    suite.world.hosts.forEach(({ name }) => suite.world.upstreams.all.get('g-a')!.cutOff.add(name))
    const refusals: Array<{ sentMs: number, message: string }> = []
    for (let sentMs = 0; sentMs < DETECTION_MS; sentMs += REQUEST_INTERVAL_MS) {
      void suite.world.connect('h1', 'money').write().then(({ failure }) => {
        if (failure?.kind === 'busy') {
          refusals.push({ sentMs, message: failure.message })
        }
      })
      await suite.clock.tickAsync(REQUEST_INTERVAL_MS)
    }
    await suite.clock.tickAsync(2000)
    const late = refusals.filter(({ sentMs }) => sentMs > SILENCE_MS - WAIT_MS + REQUEST_INTERVAL_MS)
    expect(late.length > 10).toEqual(true)
    const tooSoon = late.filter(({ message }) => Number(/retry after (\d+) ms/.exec(message)?.[1]) < MINIMUM_RETRY_MS)
    expect(tooSoon).toEqual([])
  })
})
