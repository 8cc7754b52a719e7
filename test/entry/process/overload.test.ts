import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld, MONEY } from '../../fixtures/fleet/set-up.ts'

/** Latency target of the fixture's routes, in milliseconds. */
const TARGET_MS = 200
/** Number of concurrent requests; far more than one connection can serve within the target. */
const REQUEST_COUNT = 60

describe('an overloaded primary', () => {
  const suite = setUpWorld(['h1'], [{ ...MONEY, timeoutMs: 4000 }])

  it('serves the requests that meet the latency target, and refuses the rest in time with a retry delay', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    primary.maximumConnections = 1
    primary.workMs = 20
    const startedAt = performance.now()
    const outcomes: Array<{ tookMs: number, failure?: string }> = []
    for (let index = 0; index < REQUEST_COUNT; index++) {
      void suite.world.connect('h1', 'money').write().then(({ failure }) => {
        outcomes.push({ tookMs: performance.now() - startedAt, failure: failure && `${failure.kind}: ${failure.message}` })
      })
    }
    await suite.clock.tickAsync(TARGET_MS * 2)
    expect(outcomes.length).toEqual(REQUEST_COUNT)
    const served = outcomes.filter(({ failure }) => failure === undefined)
    expect(served.length > 3).toEqual(true)
    expect(served.every(({ tookMs }) => tookMs <= TARGET_MS)).toEqual(true)
    const refused = outcomes.filter(({ failure }) => failure !== undefined)
    expect(refused.every(({ failure, tookMs }) =>
      failure!.startsWith('busy') && failure!.includes('retry after') && tookMs <= TARGET_MS)).toEqual(true)
  })
})
