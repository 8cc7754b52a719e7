import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createPromotionLease, PROMOTION_LEASE_MS, type PromotionLease } from '../../../src/entry/leadership/promotion-lease.ts'
import { createSnapshot } from '../../../src/entry/registry/snapshot.ts'
import { registryKeys, type Registry } from '../../../src/entry/registry/index.ts'
import type { StoreRow } from '../../../src/entry/ports/index.ts'
import { PeerRefusedConnection } from '../../../src/peers/refusal.ts'
import { FakeStore } from '../../fixtures/fleet/store.ts'

const TABLE = 'worksward'
const ORDER = { group: 'g', upstream: 'g-b', failoverId: 'f1' }
const HOST = { address: '10.1.0.1', port: 1, failureDomain: 'x' }
const CLOSED = { epoch: 1, primary: 'g-a', state: 'closed', term: 1, writtenBy: 'h1', succession: 'f1' }

/** Ways in which a holder seems to have ended. */
const ENDINGS: Record<string, (store: FakeStore) => void> = {
  'refuses connections': () => {},
  'was retired': (store) => store.put(TABLE, 'host/h1', { ...HOST, process: 'retired', retiredUntilMs: 0 }),
  'has no row': (store) => store.remove(TABLE, 'host/h1'),
  'was restarted': (store) => store.put(TABLE, 'host/h1', { ...HOST, process: 'another process' })
}

describe('the promotion lease of a holder that seems to have ended', () => {
  let clock: Clock
  let store: FakeStore
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    store = new FakeStore()
    store.put(TABLE, registryKeys.group('g'), CLOSED)
    store.put(TABLE, 'host/h1', { ...HOST, process: 'process of h1' })
  })
  afterEach(() => { clock.uninstall() })

  /** Returns the access of a host, which reads the given rows instead of the store's if there are any. */
  const leaseOf = (name: string, rows?: StoreRow[]): PromotionLease => {
    const registry = {
      self: { name, process: `process of ${name}` },
      get current () { return createSnapshot(rows ?? [...store.tables.get(TABLE)!.values()], 1, 0) },
      refresh: async () => true,
      storeNowAtLeastMs: () => performance.now(),
      storeNowAtMostMs: () => performance.now(),
      write: async (transaction: Parameters<Registry['write']>[0]) => store.apply({ ...transaction, table: TABLE })
    }
    const peers = { requestOrDisconnect: async () => { throw new PeerRefusedConnection('h1', 'connect ECONNREFUSED') } }
    return createPromotionLease({ registry: registry as unknown as Registry, peers, logger: silentLogger })
  }

  for (const [ending, end] of Object.entries(ENDINGS)) {
    it(`is kept until it expires after an order, if the holder ${ending}`, async () => {
      await leaseOf('h1').acquireToOrder(ORDER)
      end(store)
      await clock.tickAsync(PROMOTION_LEASE_MS - 1)
      expect(await leaseOf('h2').acquire()).toEqual(undefined)
      await clock.tickAsync(1)
      expect((await leaseOf('h2').acquire())?.fence).toEqual(2)
    })

    it(`passes on at once without an order, if the holder ${ending}`, async () => {
      await leaseOf('h1').acquire()
      end(store)
      expect((await leaseOf('h2').acquire())?.fence).toEqual(2)
    })
  }

  it('allows no order once it has passed on, even if its former holder has not read that', async () => {
    await leaseOf('h1').acquire()
    const formerHolder = leaseOf('h1', [...store.tables.get(TABLE)!.values()])
    await clock.tickAsync(1)
    await leaseOf('h2').acquire()
    expect(await formerHolder.acquireToOrder(ORDER)).toEqual(undefined)
    expect(JSON.parse(store.tables.get(TABLE)!.get(registryKeys.group('g'))!.value)).toEqual(CLOSED)
  })

  it('allows no order of a failover that has lost the group to another one', async () => {
    const first = leaseOf('h1')
    await first.acquire()
    store.put(TABLE, registryKeys.group('g'), { ...CLOSED, succession: 'f2' })
    expect(await first.acquireToOrder(ORDER)).toEqual(undefined)
    expect((await first.acquireToOrder({ ...ORDER, failoverId: 'f2' }))?.fence).toEqual(1)
  })

  it('takes over the renewed lease of a holder only after the expiry at its last order', async () => {
    const first = leaseOf('h1')
    await first.acquireToOrder(ORDER)
    await clock.tickAsync(PROMOTION_LEASE_MS / 2)
    await first.acquire()
    await clock.tickAsync(PROMOTION_LEASE_MS / 2 - 1)
    expect(await leaseOf('h2').acquire()).toEqual(undefined)
    await clock.tickAsync(1)
    expect((await leaseOf('h2').acquire())?.fence).toEqual(2)
  })
})
