import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { RequestError } from '../../../src/core/errors/index.ts'
import { OPEN_TRANSACTION_PRIORITY } from '../../../src/entry/pools/fair-order.ts'
import { createStatementQueue } from '../../../src/entry/pools/statement-queue.ts'
import { createUpstreamPool, type UpstreamPool } from '../../../src/entry/pools/upstream-pool.ts'
import type { ConnectionLease, PoolContention } from '../../../src/entry/pools/types.ts'
import { UpstreamUnreachable, type UpstreamConnection } from '../../../src/entry/ports/index.ts'
import { acquireConnection } from '../../../src/entry/requests/acquire-connection.ts'
import { NO_POOL_EVENTS } from '../../fixtures/pool-events.ts'

const MAXIMUM = 8

describe('the connections of a home that several organisations use', () => {
  let clock: Clock
  let pool: UpstreamPool
  let openCount: number
  let capacity: number
  let isSilent: boolean
  let contended: PoolContention[]
  let closed: string[]

  const open = async (): Promise<UpstreamConnection> => {
    await new Promise((resolve) => { setTimeout(resolve, isSilent ? 700 : 5) })
    if (isSilent) {
      throw new UpstreamUnreachable('u', 'no answer', 'silent')
    }
    if (openCount >= capacity) {
      throw new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason: 'too-many-connections' })
    }
    openCount++
    const connection = { closed: false, onClose: () => {}, close: () => { connection.closed = true; openCount-- } }
    return connection as unknown as UpstreamConnection
  }
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
    openCount = 0
    capacity = Infinity
    isSilent = false
    contended = []
    closed = []
    pool = createUpstreamPool({
      target: { group: 'g', upstream: 'u', endpoint: { address: '127.0.0.1', port: 1 } },
      port: { open },
      limits: () => ({ retained: 4, maximum: MAXIMUM }),
      events: {
        ...NO_POOL_EVENTS,
        onClosed: (reason) => { closed.push(reason) },
        onContended: (contention) => { contended.push(contention) }
      }
    })
  })
  afterEach(() => {
    pool.close()
    clock.uninstall()
  })
  /** Requests connections; the result grows as they are leased or refused. */
  const request = async (organisation: string, count: number, beginsTransaction = false, waitMs = 2000) => {
    const results = { leases: [] as ConnectionLease[], errors: [] as RequestError[] }
    for (let index = 0; index < count; index++) {
      void pool.acquire({ organisation, values: new Map(), priority: 1, waitMs, beginsTransaction }).then(
        (lease) => {
          lease.setIdleTransaction(beginsTransaction)
          results.leases.push(lease)
        },
        (error: RequestError) => results.errors.push(error))
      await clock.tickAsync(20)
    }
    return results
  }

  it('go to others before an organisation that has half of them, although it waited first', async () => {
    const large = await request('large', MAXIMUM)
    const more = await request('large', 1)
    const small = await request('small', 1)
    large.leases[0]!.release()
    await clock.tickAsync(20)
    expect([more.leases.length, small.leases.length]).toEqual([0, 1])
    large.leases[1]!.release()
    await clock.tickAsync(20)
    expect(more.leases.length).toEqual(1)
    expect(closed).toEqual(['replaced'])
  })

  it('are left to others by an organisation whose transactions stay idle', async () => {
    ;(await request('small', 1)).leases[0]!.release()
    const idle = await request('large', 12, true)
    const small = await request('small', 1)
    expect([idle.leases.length, small.leases.length]).toEqual([6, 1])
    expect(pool.mustWait({ organisation: 'large', beginsTransaction: false })).toEqual(false)
    idle.leases.slice(0, 5).forEach((lease) => lease.setIdleTransaction(false))
    await clock.tickAsync(20)
    expect(idle.leases.length).toEqual(7)
  })

  it('may all be taken by one organisation that nobody else competes with', async () => {
    expect((await request('large', 10, true)).leases.length).toEqual(MAXIMUM)
    expect(contended).toEqual([])
  })

  it('do not keep slots from the steps of idle transactions that hold all of them', async () => {
    const idle = await request('large', MAXIMUM, true)
    const queue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 5, homes: 6 }) })
    const scope = {
      organisation: 'small', values: new Map(), priority: 0, costMs: 8, softDeadline: performance.now() + 1000
    }
    const context = { metrics: { queue: () => {} } }
    const acquired = [1, 2, 3].map(async () =>
      await acquireConnection(context as never, scope as never, { pool, queue } as never, 400))
    await clock.tickAsync(5)
    expect([queue.running, pool.waiting]).toEqual([0, 3])
    acquired.slice(1).forEach((waiting) => { waiting.catch(() => {}) })
    idle.leases[0]!.release()
    await clock.tickAsync(20)
    const { lease, releaseSlot } = await acquired[0]!
    expect([lease.organisation, queue.running]).toEqual(['small', 1])
    releaseSlot()
  })

  it('do not wait for a slot while the slots wait for connections', async () => {
    // Otherwise neither they nor the steps of open transactions would run until the waits time out.
    const idle = []
    for (let index = 0; index < MAXIMUM; index++) {
      idle.push(...(await request(`o${index}`, 1, true)).leases)
    }
    const queue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 1, homes: 1 }) })
    const enterStep = async (lease: ConnectionLease) => {
      lease.setIdleTransaction(false)
      return await queue.enter({ organisation: 'o', priority: OPEN_TRANSACTION_PRIORITY, costMs: 5, waitMs: 1000, dueInMs: 500 })
    }
    const begin = (organisation: string, priority: number): { isDone: boolean } => {
      const state = { isDone: false }
      const scope = {
        organisation, values: new Map(), priority, costMs: 5, softDeadline: performance.now() + 800
      }
      acquireConnection({ metrics: { queue: () => {} } } as never, scope as never, { pool, queue } as never, 400)
        .then(({ releaseSlot }) => {
          state.isDone = true
          setTimeout(releaseSlot, 5)
        }, () => {})
      return state
    }
    const first = begin('small', 1)
    await clock.tickAsync(5)
    const freeSlots = await Promise.all([enterStep(idle[1]!), enterStep(idle[2]!)])
    idle[0]!.release()
    await clock.tickAsync(20)
    begin('urgent', 0)
    begin('other', 0)
    for (const [index, freeSlot] of freeSlots.entries()) {
      freeSlot()
      idle[index + 1]!.setIdleTransaction(true)
      await clock.tickAsync(1)
    }
    let isStepDone = false
    void enterStep(idle[3]!).then((freeSlot) => {
      isStepDone = true
      freeSlot()
    })
    await clock.tickAsync(50)
    expect([first.isDone, isStepDone]).toEqual([true, true])
  })

  it('are closed for another organisation where they are expected to be used least', async () => {
    const used = ['often', 'seldom', 'often', 'o3', 'o4', 'o5', 'o6', 'o7', 'o8', 'o3', 'o4', 'o5', 'o6', 'o7', 'o8']
    for (const organisation of used) {
      (await request(organisation, 1)).leases.forEach((lease) => lease.release())
    }
    const often = await request('often', 1)
    const opened = openCount
    often.leases[0]!.release()
    await request('new', 1)
    expect([opened, openCount, closed]).toEqual([MAXIMUM, MAXIMUM, ['replaced']])
    expect(pool.mustWait({ organisation: 'often', beginsTransaction: false })).toEqual(false)
    const again = await request('often', 1)
    expect([again.leases[0]!.connection === often.leases[0]!.connection, closed.length]).toEqual([true, 1])
  })

  it('are given up for others when the upstream refuses more, and the competition is reported once a second', async () => {
    capacity = 2
    const large = await request('large', 2)
    const small = await request('small', 1)
    const other = await request('other', 1)
    await clock.tickAsync(800)
    large.leases.forEach((lease) => lease.release())
    await clock.tickAsync(200)
    expect([small.leases.length, other.leases.length, openCount]).toEqual([1, 1, 2])
    expect(contended.length <= 2).toEqual(true)
    expect(contended[0]).toEqual({ organisationsWaiting: 2, inUse: 2, idleInTransaction: 0, closedForOthers: 0 })
  })

  it('count for no organisation after an upstream went silent, and serve all when it answers again', async () => {
    isSilent = true
    const first = await request('large', 6)
    const second = await request('small', 1)
    await clock.tickAsync(1500)
    expect([first.errors.length, second.errors.length, pool.size]).toEqual([6, 1, 0])
    isSilent = false
    const large = await request('large', 4)
    const small = await request('small', 4)
    expect([large.leases.length, small.leases.length]).toEqual([4, 4])
  })

  it('are opened ahead of use up to the number to retain', async () => {
    const opened = Promise.all(Array.from({ length: 5 }, async () => await pool.openAhead('large')))
    await clock.tickAsync(20)
    expect([openCount, (await opened).length]).toEqual([4, 5])
  })
})
