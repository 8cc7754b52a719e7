import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const ROUTES: FakeRoute[] = [
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
]
/** Interrupted reads: more than a process may repeat without having earned any by other requests. */
const INTERRUPTED = 120
/** Reads served in between for each interrupted one: they earn a fifth of a repetition each. */
const SERVED_BETWEEN = 10

describe('the retry budget of an entry process', () => {
  const suite = setUpWorld(['h1', 'h2'], ROUTES)

  it('is refilled by the requests that are served', async () => {
    const failures: string[] = []
    for (let turn = 0; turn < INTERRUPTED; turn++) {
      const caller = suite.world.connect('h1', 'view')
      for (let read = 0; read < SERVED_BETWEEN; read++) {
        await suite.settle(caller.read(), 20)
      }
      const interrupted = caller.read()
      await suite.clock.tickAsync(2)
      suite.world.upstreams.all.forEach(({ connections }) => connections.forEach((connection) => connection.close()))
      const { failure } = await suite.settle(interrupted, 900)
      if (failure !== undefined) {
        failures.push(`turn ${turn}: ${failure.kind}`)
      }
      caller.close()
    }
    expect(failures).toEqual([])
  })
})
