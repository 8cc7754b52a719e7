import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createSuspicion } from '../../../src/mysql-proxy/failover/suspicion.ts'
import { createRetryBudget } from '../../../src/retries/retry-budget.ts'
import { createConcurrencyLimit } from '../../../src/mysql-proxy/upstreams/concurrency-limit.ts'
import { createDataAge } from '../../../src/mysql-proxy/upstreams/data-age.ts'
import { Deadline } from '../../../src/core/time/deadline.ts'

describe('decisions over time', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('counts the age of a replica from the sending of the probe whose position it has reached', () => {
    const age = createDataAge()
    age.primarySeen(performance.now(), { term: 1, position: 10 })
    clock.tick(100)
    age.primarySeen(performance.now(), { term: 1, position: 20 })
    age.replicaSeen('r', { term: 1, position: 15 })
    clock.tick(50)
    expect(age.ageMs('r')).toEqual(150)
    age.replicaSeen('r', { term: 1, position: 20 })
    expect(age.ageMs('r')).toEqual(50)
    expect(age.ageMs('unknown')).toEqual(Infinity)
  })

  it('lets a replica of an older term age until it follows the new one', () => {
    const age = createDataAge()
    age.primarySeen(performance.now(), { term: 1, position: 10 })
    age.replicaSeen('r', { term: 1, position: 10 })
    clock.tick(30)
    age.primarySeen(performance.now(), { term: 2, position: 11 })
    clock.tick(10)
    expect(age.ageMs('r')).toEqual(40)
    age.replicaSeen('r', { term: 2, position: 11 })
    expect(age.ageMs('r')).toEqual(10)
  })

  it('forgets observations of a failure that nobody repeats', () => {
    const suspicion = createSuspicion()
    suspicion.record({ upstream: 'u', term: 1, failureDomain: 'a' })
    suspicion.record({ upstream: 'u', term: 1, failureDomain: 'b' })
    suspicion.record({ upstream: 'u', term: 2, failureDomain: 'c' })
    expect(suspicion.countDomains('u', 1)).toEqual(2)
    clock.tick(1001)
    expect(suspicion.countDomains('u', 1)).toEqual(0)
  })

  it('counts a failure domain once, however often it observes', () => {
    const suspicion = createSuspicion()
    for (let turn = 0; turn < 5; turn++) {
      suspicion.record({ upstream: 'u', term: 1, failureDomain: 'a' })
    }
    expect(suspicion.countDomains('u', 1)).toEqual(1)
  })

  it('fails at a passed deadline with the verdict of the moment', async () => {
    const deadline = new Deadline(100)
    const racing = deadline.race(new Promise<never>(() => {}), 'may-have-run', 'waiting')
    clock.tick(100)
    await expect(racing).toBeRejectedWith('the deadline of 100 ms passed while waiting')
  })
})

describe('createConcurrencyLimit', () => {
  const drive = (latencyMs: number, samples: number, limit: ReturnType<typeof createConcurrencyLimit>): void => {
    for (let index = 0; index < samples; index++) {
      limit.record(latencyMs)
    }
  }

  it('grows while statements take as long as the fastest, and shrinks when they queue', () => {
    const limit = createConcurrencyLimit({ initial: 3, maximum: () => 8 })
    drive(5, 2000, limit)
    expect(limit.current).toEqual(8)
    drive(60, 200, limit)
    expect(limit.current < 4).toEqual(true)
    drive(5, 4000, limit)
    expect(limit.current).toEqual(8)
  })

  it('does not take one lucky sample for the fastest latency', () => {
    const limit = createConcurrencyLimit({ initial: 3, maximum: () => 8 })
    limit.record(0.05)
    drive(2, 2000, limit)
    expect(limit.current).toEqual(8)
  })
})

describe('createRetryBudget', () => {
  it('grants no more retries than a part of the requests, once what was saved is spent', () => {
    const budget = createRetryBudget()
    while (budget.spend()) {
      // Spends what was saved.
    }
    let granted = 0
    for (let request = 0; request < 100; request++) {
      budget.earn()
      granted += budget.spend() ? 1 : 0
    }
    expect(granted <= 20).toEqual(true)
  })
})
