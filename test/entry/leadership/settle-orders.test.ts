import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import { finishFailover } from '../../../src/entry/leadership/finish-failover.ts'
import { createLeaderWatch } from '../../../src/entry/leadership/leader-watch.ts'
import { promote, type PromotionStage } from '../../../src/entry/leadership/order-promotion.ts'
import { createPendingOrders } from '../../../src/entry/leadership/pending-orders.ts'
import { awaitOrdersSettled } from '../../../src/entry/leadership/settle-orders.ts'
import type { KnownUpstream } from '../../../src/entry/directory/index.ts'
import type { UpstreamReport } from '../../../src/entry/ports/index.ts'
import type { GroupRow, Registry } from '../../../src/entry/registry/index.ts'

/** Time until a probe of a slow upstream is answered, in milliseconds. */
const SLOW_MS = 250

function reportOf (role: UpstreamReport['role'], term: number): UpstreamReport {
  return { role, term, received: { term, position: 1 } }
}

describe('orders to promote that take effect while upstreams are looked at', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }) })
  afterEach(() => { clock.uninstall() })

  /** Creates the services of a host that sees a closed row; p is the old primary. */
  const setUp = (orders: Record<string, number>) => {
    const closed: GroupRow = {
      epoch: 1, primary: 'p', state: 'closed', term: 1, writtenBy: 'h1', succession: 'failover', orders
    }
    const stored = { row: closed, version: 1 }
    const now = (): number => performance.now()
    const registry = {
      self: { name: 'h2', process: 'process of h2' },
      current: { group: () => stored },
      storeNowAtLeastMs: now,
      storeNowAtMostMs: now,
      refresh: async () => true,
      write: async ({ put }: Parameters<Registry['write']>[0]) => {
        stored.row = JSON.parse(put[0]!.value) as GroupRow
        return true
      },
      requestPeerRefresh: () => {}
    } as unknown as Registry
    const known = (upstream: string) => ({ upstream, group: 'g', claimsPrimary: false }) as KnownUpstream
    const directory = { get: known, ofGroup: () => ['p', 'x', 'y'].map(known) }
    const reports: Record<string, UpstreamReport | undefined> = {}
    const slow = new Set<string>()
    const pools = {
      probe: async ({ upstream }: KnownUpstream) => {
        const report = reports[upstream]
        await pause(slow.has(upstream) ? SLOW_MS : 1)
        return slow.has(upstream) ? reports[upstream] : report
      },
      demote: async () => undefined
    }
    return { stored, registry, directory, pools, reports, slow, known }
  }

  it('open no epoch with an upstream that another one has superseded during the look', async () => {
    const { stored, registry, directory, pools, reports, slow } = setUp({ x: 100, y: 200 })
    reports['x'] = reportOf('primary', 2)
    reports['y'] = reportOf('replica', 1)
    slow.add('x')
    setTimeout(() => { reports['y'] = reportOf('primary', 3) }, 150)
    const finishing = finishFailover({
      group: 'g',
      registry,
      knownTerm: 1,
      directory,
      pools,
      promotionLease: { seemsAbandoned: async () => true },
      logger: silentLogger
    })
    await clock.tickAsync(1000)
    expect([await finishing, stored.row.state]).toEqual([undefined, 'closed'])
  })

  it('open no epoch after an order was recorded during the look', async () => {
    const { stored, registry, directory, pools, reports, slow } = setUp({ x: 100 })
    reports['x'] = reportOf('primary', 2)
    slow.add('x')
    setTimeout(() => { stored.version++ }, 150)
    const finishing = finishFailover({
      group: 'g',
      registry,
      knownTerm: 1,
      directory,
      pools,
      promotionLease: { seemsAbandoned: async () => true },
      logger: silentLogger
    })
    await clock.tickAsync(1000)
    expect([await finishing, stored.row.state]).toEqual([undefined, 'closed'])
  })

  it('keep an order for the old primary pending while it still reports the term before the order', async () => {
    const { stored, registry, directory, pools, reports, known } = setUp({ x: 100 })
    reports['p'] = reportOf('primary', 1)
    const orders = createPendingOrders({ group: 'g', registry })
    const watch = createLeaderWatch({ directory, pools, group: 'g', orders, oldPrimary: 'p', closedTerm: 1 })
    const stage = {
      group: 'g',
      knownTerm: 1,
      registry,
      directory,
      pools,
      logger: silentLogger,
      failoverId: 'failover',
      orders,
      watch,
      promotionLease: {
        acquire: async () => ({ fence: 1, mayOrder: () => true }),
        seemsAbandoned: async () => false,
        acquireToOrder: async () => {
          stored.row.orders = { ...stored.row.orders, p: performance.now() + 10_000 }
          return { fence: 1, mayOrder: () => true }
        },
        recordOrder: () => {}
      },
      promotion: {
        promote: async () => {
          setTimeout(() => { reports['p'] = reportOf('primary', 3) }, 700)
          return 'accepted' as const
        }
      }
    } satisfies PromotionStage
    const promoting = promote(stage, { upstream: known('p'), report: reportOf('primary', 1) })
    await clock.tickAsync(100)
    const promoted = await promoting
    reports['x'] = reportOf('primary', 2)
    const settling = awaitOrdersSettled(stage, promoted!)
    await clock.tickAsync(15_000)
    expect((await settling)?.upstream.upstream).toEqual('p')
  })
})
