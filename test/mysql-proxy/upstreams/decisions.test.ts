import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createSuspicion } from '../../../src/mysql-proxy/failover/suspicion.ts'
import { createRetryBudget } from '../../../src/retries/retry-budget.ts'
import { createConcurrencyLimit } from '../../../src/mysql-proxy/upstreams/concurrency-limit.ts'
import { createDataAge } from '../../../src/mysql-proxy/upstreams/data-age.ts'
import { Deadline } from '../../../src/core/time/deadline.ts'

describe('time-dependent decisions', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('counts the age of a replica from the sending time of the latest probe whose position it has reached', () => {
    const age = createDataAge()
    age.recordPrimary(performance.now(), { term: 1, position: 10 })
    clock.tick(100)
    age.recordPrimary(performance.now(), { term: 1, position: 20 })
    age.recordReplica('r', { term: 1, position: 15 })
    clock.tick(50)
    expect(age.ageMs('r')).toEqual(150)
    age.recordReplica('r', { term: 1, position: 20 })
    expect(age.ageMs('r')).toEqual(50)
    expect(age.ageMs('unknown')).toEqual(Infinity)
  })

  it('increases the age of a replica in an older term until it reaches a position of the new term', () => {
    const age = createDataAge()
    age.recordPrimary(performance.now(), { term: 1, position: 10 })
    age.recordReplica('r', { term: 1, position: 10 })
    clock.tick(30)
    age.recordPrimary(performance.now(), { term: 2, position: 11 })
    clock.tick(10)
    expect(age.ageMs('r')).toEqual(40)
    age.recordReplica('r', { term: 2, position: 11 })
    expect(age.ageMs('r')).toEqual(10)
  })

  it('expires observations of a failure that are not repeated', () => {
    const suspicion = createSuspicion()
    suspicion.record({ upstream: 'u', term: 1, failureDomain: 'a' })
    suspicion.record({ upstream: 'u', term: 1, failureDomain: 'b' })
    suspicion.record({ upstream: 'u', term: 2, failureDomain: 'c' })
    expect(suspicion.countDomains('u', 1)).toEqual(2)
    clock.tick(1001)
    expect(suspicion.countDomains('u', 1)).toEqual(0)
  })

  it('counts a failure domain once, regardless of the number of its observations', () => {
    const suspicion = createSuspicion()
    for (let count = 0; count < 5; count++) {
      suspicion.record({ upstream: 'u', term: 1, failureDomain: 'a' })
    }
    expect(suspicion.countDomains('u', 1)).toEqual(1)
  })

  it('rejects with the deadline and the stage when the deadline passes', async () => {
    const deadline = new Deadline(100)
    const racing = deadline.race(new Promise<never>(() => {}), 'may-have-run', 'waiting')
    // The turn of the event loop after the timeout takes 1 ms here.
    clock.tick(101)
    await expect(racing).toBeRejectedWith('the deadline of 100 ms passed while waiting')
  })
})

describe('createConcurrencyLimit', () => {
  const recordSamples = (latencyMs: number, count: number, limit: ReturnType<typeof createConcurrencyLimit>): void => {
    for (let index = 0; index < count; index++) {
      limit.record(latencyMs)
    }
  }

  it('grows while the latency is near the lowest, and shrinks when it rises', () => {
    const limit = createConcurrencyLimit({ initial: 3, maximum: () => 8 })
    recordSamples(5, 2000, limit)
    expect(limit.current).toEqual(8)
    recordSamples(60, 200, limit)
    expect(limit.current < 4).toEqual(true)
    recordSamples(5, 4000, limit)
    expect(limit.current).toEqual(8)
  })

  it('ignores a single outlier when it determines the lowest latency', () => {
    const limit = createConcurrencyLimit({ initial: 3, maximum: () => 8 })
    limit.record(0.05)
    recordSamples(2, 2000, limit)
    expect(limit.current).toEqual(8)
  })
})

describe('createRetryBudget', () => {
  it('grants at most 20 retries per 100 requests once the initial budget is spent', () => {
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) {
      // Spends the initial budget.
    }
    let granted = 0
    for (let request = 0; request < 100; request++) {
      budget.deposit()
      granted += budget.tryWithdraw() ? 1 : 0
    }
    expect(granted <= 20).toEqual(true)
  })
})
