import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createLimitOwner } from '../../../src/entry/limits/limit-owner.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from '../../../src/entry/limits/prefetched-grants.ts'
import type { LogFields } from '../../../src/core/logger/types.ts'

const LIMIT = { perSecond: 20, burst: 20 }
const COUNTING = { windowSeconds: 5, tolerance: { part: 0.1, operations: 20 } }

describe('unused operations of a limit', () => {
  let clock: Clock
  let grants: PrefetchedGrants
  let returned: Array<{ owner: string, operations: number, bucket: number }>
  let counts: Record<string, number>
  /** Owner that answers, and its bucket. */
  let owner: string
  let bucket: number
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] })
    returned = []
    counts = {}
    owner = 'h4'
    bucket = 7
    grants = createPrefetchedGrants({
      limitOf: () => LIMIT,
      count: (outcome, operations) => { counts[outcome] = (counts[outcome] ?? 0) + operations },
      requestGrant: async (_organisation, wanted, byPriority) => {
        await new Promise((resolve) => { setTimeout(resolve, 2) })
        return {
          granted: wanted,
          retryAfterMs: 0,
          version: 1,
          owner,
          bucket,
          byPriority: byPriority.map((request) =>
            ({ priority: request.priority, granted: request.wanted, turnsMs: [100], retryAfterMs: 0 }))
        }
      },
      returnOperations: (to, { operations, bucket: id }) => returned.push({ owner: to, operations, bucket: id })
    })
  })
  afterEach(() => {
    grants.close()
    clock.uninstall()
  })
  const take = async (holder: { cancelWait?: (() => void) | undefined }): Promise<number> =>
    await grants.take('red', { priority: 1, maximumWaitMs: 200, holder })

  it('go back to the bucket when the wait for a turn is interrupted', async () => {
    const holder: { cancelWait?: (() => void) | undefined } = {}
    const taking = take(holder).then(() => 'taken', (thrown: Error) => thrown.message)
    await clock.tickAsync(50)
    holder.cancelWait!()
    expect((await taking).startsWith('red has reached its limit')).toEqual(true)
    await clock.tickAsync(100)
    expect([returned, holder.cancelWait]).toEqual([[{ owner: 'h4', operations: 1, bucket: 7 }], undefined])
  })

  it('go back to the bucket when the caller leaves before the owner has answered', async () => {
    const holder: { cancelWait?: (() => void) | undefined } = {}
    const taking = take(holder).catch(() => 'refused')
    holder.cancelWait!()
    await clock.tickAsync(150)
    expect([await taking, returned.length]).toEqual(['refused', 1])
  })

  it('go back in one batch when requests fail before they are sent, but not when they are old', async () => {
    const takings = Promise.all([take({}), take({}), take({})])
    await clock.tickAsync(110)
    const [first, second, third] = await takings
    grants.refund('red', first!)
    grants.refund('red', second!)
    await clock.tickAsync(250)
    expect(returned.map(({ operations }) => operations)).toEqual([2])
    // One that did not run for longer than the bound covers would add to a later window.
    await clock.tickAsync(100)
    grants.refund('red', third!)
    await clock.tickAsync(300)
    expect([returned.length, counts['expired']]).toEqual([1, 1])
  })

  it('are not used again and again while requests fail', async () => {
    // An operation that circulates at a host runs in a later window than the one whose inflow it was granted from.
    const [first] = await Promise.all([take({}), clock.tickAsync(110)])
    await clock.tickAsync(250)
    grants.refund('red', first)
    const [second] = await Promise.all([take({}), clock.tickAsync(10)])
    await clock.tickAsync(250)
    grants.refund('red', second)
    await clock.tickAsync(300)
    expect([counts['granted'], returned.length, counts['expired']]).toEqual([1, 0, 1])
  })

  it('do not go to another bucket than the one that granted them', async () => {
    // Only the bucket that granted an operation may credit it, or the next one grants more than the limit.
    const taking = take({})
    await clock.tickAsync(50)
    bucket = 8
    // An operation that does not wait gets its answer from the new bucket before the turn of the other one.
    void take({})
    await clock.tickAsync(53)
    grants.refund('red', await taking)
    await clock.tickAsync(300)
    expect(returned).toEqual([])
  })

  it('do not go to another owner whose bucket has the same number', async () => {
    // Numbers begin with the start time of the process, and hosts that regain power start at the same time.
    const holder: { cancelWait?: (() => void) | undefined } = {}
    take(holder).catch(() => {})
    await clock.tickAsync(50)
    owner = 'h5'
    void take({})
    await clock.tickAsync(10)
    holder.cancelWait!()
    await clock.tickAsync(300)
    expect(returned).toEqual([])
  })

  it('go back without the one that a retry has used', async () => {
    // An operation that has run and is returned as well is granted twice, which exceeds the bound of the limit.
    const takings = Promise.all(Array.from({ length: 8 }, async () => await take({})))
    await clock.tickAsync(110)
    await takings
    const unused = counts['granted']! - counts['used']!
    expect(unused).toEqual(2)
    grants.countRetry('red')
    await clock.tickAsync(500)
    expect(returned.map(({ operations }) => operations)).toEqual([1])
  })

  it('are credited only by the bucket that granted them, and no more than it granted', () => {
    clock.tick(10_000)
    const reports: LogFields[] = []
    const limitOwner = createLimitOwner({
      desiredState: () => ({ organisations: new Map([['red', { name: 'red', limit: LIMIT }]]) }),
      counting: () => COUNTING,
      reachableShare: () => 1,
      onPressure: (_organisation, fields) => reports.push(fields)
    })
    const ask = () =>
      limitOwner.grant('red', 100, { isFirst: true, exclusiveSince: 0 }, [{ priority: 2, wanted: 100, maximumWaitMs: 0 }])!
    const { granted, bucket: granting } = ask()
    limitOwner.credit({ organisation: 'red', operations: granted, bucket: granting! + 1 })
    expect(ask().granted).toEqual(0)
    limitOwner.credit({ organisation: 'red', operations: granted + 50, bucket: granting! })
    expect(ask().granted).toEqual(granted)
    clock.tick(1000)
    ask()
    // One report a second: the first request, and then all that came within a second.
    expect(reports.map(({ asked, returned: count }) => [asked, count])).toEqual([['2:100', 0], ['2:300', granted]])
  })
})
