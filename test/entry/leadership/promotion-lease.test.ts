import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { PROMOTION_LEASE_MS } from '../../../src/entry/leadership/promotion-lease.ts'
import { createPromotionLease, type PromotionLease } from '../../../src/entry/leadership/promotion-lease.ts'
import type { PromotionLeaseRow, Registry } from '../../../src/entry/registry/index.ts'

/** The row of the promotion lease, as all hosts share it. */
class SharedRow {
  row: PromotionLeaseRow | undefined
  version = 0

  leaseOf (name: string): PromotionLease {
    const now = (): number => performance.now()
    const hosts = ['h1', 'h2'].map((host) => ({ name: host, process: `process of ${host}` }))
    const read = () => ({ hosts, promotionLease: { row: this.row, version: this.version } })
    const registry = {
      self: { name, process: `process of ${name}` },
      get current () { return read() },
      refresh: async () => true,
      storeNowAtLeastMs: now,
      storeNowAtMostMs: now,
      write: async ({ expected, put }: Parameters<Registry['write']>[0]) => {
        if (expected[0]!.version !== this.version) {
          return false
        }
        this.row = JSON.parse(put[0]!.value) as PromotionLeaseRow
        this.version++
        return true
      }
    }
    const peers = { requestOrDisconnect: async () => ({}) }
    return createPromotionLease({ registry: registry as unknown as Registry, peers, logger: silentLogger })
  }
}

describe('the lease on promoting', () => {
  let clock: Clock
  let shared: SharedRow
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    shared = new SharedRow()
  })
  afterEach(() => { clock.uninstall() })

  it('is free for another host at once when it is released, with a higher fencing token', async () => {
    const first = shared.leaseOf('h1')
    const held = await first.hold()
    await first.release()
    const next = await shared.leaseOf('h2').hold()
    expect(next?.fence).toEqual(held!.fence + 1)
  })

  it('lets nothing more be ordered by what was taken before its release', async () => {
    const lease = shared.leaseOf('h1')
    const held = await lease.hold()
    expect(held?.mayOrder()).toEqual(true)
    await clock.tickAsync(1)
    await lease.release()
    expect(held?.mayOrder()).toEqual(false)
    expect((await lease.hold())?.mayOrder()).toEqual(false)
    await clock.tickAsync(1)
    expect((await lease.hold())?.mayOrder()).toEqual(true)
  })

  it('stays for its whole lease once a promotion was ordered', async () => {
    const lease = shared.leaseOf('h1')
    await lease.hold()
    lease.recordOrder()
    await lease.release()
    expect(await shared.leaseOf('h2').hold()).toEqual(undefined)
    await clock.tickAsync(PROMOTION_LEASE_MS + 1)
    expect((await shared.leaseOf('h2').hold())?.fence).toEqual(2)
  })
})
