import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld, MONEY } from '../../fixtures/fleet/set-up.ts'

/** Time of a route within which its answers are in time, in milliseconds; see the routes of the world. */
const TARGET_MS = 200
/** Requests at once, far more than the one connection there is room for can serve in time. */
const CROWD = 60

describe('a primary with more work than it can do', () => {
  const suite = setUpWorld(['h1'], [{ ...MONEY, timeoutMs: 4000 }])

  it('serves what can be in time, and refuses the rest at once with the time to come back', async () => {
    const primary = suite.world.upstreams.all.get('g-a')!
    primary.maximumConnections = 1
    primary.workMs = 20
    const startedAt = performance.now()
    const outcomes: Array<{ tookMs: number, failure?: string }> = []
    for (let index = 0; index < CROWD; index++) {
      void suite.world.connect('h1', 'money').write().then(({ failure }) => {
        outcomes.push({ tookMs: performance.now() - startedAt, failure: failure && `${failure.kind}: ${failure.message}` })
      })
    }
    await suite.clock.tickAsync(TARGET_MS * 2)
    expect(outcomes.length).toEqual(CROWD)
    const served = outcomes.filter(({ failure }) => failure === undefined)
    expect(served.length > 3).toEqual(true)
    expect(served.every(({ tookMs }) => tookMs <= TARGET_MS)).toEqual(true)
    const refused = outcomes.filter(({ failure }) => failure !== undefined)
    expect(refused.every(({ failure, tookMs }) =>
      failure!.startsWith('busy') && failure!.includes('retry after') && tookMs <= TARGET_MS)).toEqual(true)
  })
})
