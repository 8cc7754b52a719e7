import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { RequestError } from '../../../src/core/errors/index.ts'
import { MAXIMUM_LOCAL_REFUSAL_MS } from '../../../src/entry/limits/local-refusals.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from '../../../src/entry/limits/prefetched-grants.ts'

describe('createPrefetchedGrants', () => {
  let clock: Clock
  let grants: PrefetchedGrants
  /** Number of operations in each request to the owner. */
  let requested: number[]
  /** Operations that the owner can still grant. */
  let left: number
  let answers: boolean

  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] })
    requested = []
    left = Infinity
    answers = true
    grants = createPrefetchedGrants({
      limitOf: () => ({ perSecond: 20, burst: 20 }),
      requestGrant: async (_organisation, wanted) => {
        requested.push(wanted)
        await new Promise((resolve) => { setTimeout(resolve, 2) })
        const granted = Math.min(wanted, left)
        left -= granted
        return answers ? { granted, retryAfterMs: granted < wanted ? 900 : 0, version: 7, owner: 'h4' } : undefined
      }
    })
  })
  afterEach(() => { clock.uninstall() })

  /** Takes some operations at once; returns how many were granted, and the errors of the others. */
  const take = async (count: number): Promise<{ granted: number, reasons: string[] }> => {
    const outcomes = Promise.allSettled(Array.from({ length: count }, async () => await grants.take('red', { priority: 0, maximumWaitMs: 0 })))
    await clock.tickAsync(10)
    const reasons = (await outcomes).flatMap((outcome) =>
      outcome.status === 'rejected' ? [(outcome.reason as RequestError).message] : [])
    return { granted: count - reasons.length, reasons }
  }

  it('requests operations once for all that wait', async () => {
    await take(1)
    await clock.tickAsync(5000)
    // One request for the first operation, one for those that arrived while it was in progress.
    expect((await take(8)).granted).toEqual(8)
    expect(requested.length).toEqual(3)
  })

  it('prefetches for a frequent organisation, and requests each operation of an infrequent one', async () => {
    for (let turn = 0; turn < 100; turn++) {
      await take(1)
    }
    const frequent = requested.length
    expect(frequent <= 20).toEqual(true)
    for (let turn = 0; turn < 10; turn++) {
      await clock.tickAsync(2000)
      await take(1)
    }
    expect(requested.length - frequent).toEqual(10)
  })

  it('refuses without a request for a while once the limit is reached, with the limit and the time to retry', async () => {
    left = 1
    expect((await take(3)).granted).toEqual(1)
    const before = requested.length
    const { granted, reasons } = await take(1)
    const pattern = /^red has reached its limit of 20 operations a second and 20 at a time \(version 7, kept by h4\)/
    expect([granted, pattern.test(reasons[0]!), requested.length]).toEqual([0, true, before])
    left = Infinity
    await clock.tickAsync(MAXIMUM_LOCAL_REFUSAL_MS)
    expect((await take(1)).granted).toEqual(1)
  })

  it('reuses an operation that was refunded, and requests one more after a retry', async () => {
    left = 1
    await take(1)
    grants.refund('red', performance.now())
    expect((await take(1)).granted).toEqual(1)
    grants.countRetry('red')
    left = Infinity
    await take(1)
    expect(requested.at(-1)).toEqual(2)
  })

  it('refuses while no owner answers', async () => {
    answers = false
    const { granted, reasons } = await take(2)
    expect([granted, reasons[0]!.startsWith('no host could say what the limit of red leaves')]).toEqual([0, true])
  })
})
