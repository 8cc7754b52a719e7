import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { PROMOTION_LEASE_MS } from '../../../src/entry/leadership/promotion-lease.ts'
import { createPromotionLease, type PromotionLease } from '../../../src/entry/leadership/promotion-lease.ts'
import type { PromotionLeaseRow, Registry } from '../../../src/entry/registry/index.ts'

/** Row of the promotion lease in a store that all hosts share. */
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

describe('the promotion lease', () => {
  let clock: Clock
  let shared: SharedRow
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    shared = new SharedRow()
  })
  afterEach(() => { clock.uninstall() })

  it('can be acquired by another host after its release, with a higher fencing token', async () => {
    const first = shared.leaseOf('h1')
    const held = await first.acquire()
    await first.release()
    const next = await shared.leaseOf('h2').acquire()
    expect(next?.fence).toEqual(held!.fence + 1)
  })

  it('allows no order with a lease acquired before its release', async () => {
    const lease = shared.leaseOf('h1')
    const held = await lease.acquire()
    expect(held?.mayOrder()).toEqual(true)
    await clock.tickAsync(1)
    await lease.release()
    expect(held?.mayOrder()).toEqual(false)
    expect((await lease.acquire())?.mayOrder()).toEqual(false)
    await clock.tickAsync(1)
    expect((await lease.acquire())?.mayOrder()).toEqual(true)
  })

  it('is kept until it expires once a promotion was ordered', async () => {
    const lease = shared.leaseOf('h1')
    await lease.acquire()
    lease.recordOrder()
    await lease.release()
    expect(await shared.leaseOf('h2').acquire()).toEqual(undefined)
    await clock.tickAsync(PROMOTION_LEASE_MS + 1)
    expect((await shared.leaseOf('h2').acquire())?.fence).toEqual(2)
  })
})
