import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { RequestError } from '../../../src/core/errors/index.ts'
import { NO_POOL_EVENTS } from '../../fixtures/pool-events.ts'
import { createUpstreamPool, type UpstreamPool } from '../../../src/entry/pools/upstream-pool.ts'
import type { ConnectionLease } from '../../../src/entry/pools/types.ts'
import type { UpstreamConnection, UpstreamPort } from '../../../src/entry/ports/index.ts'

/** Port of an upstream that counts open connections and limits their number. */
class CountingPort implements UpstreamPort {
  openCount = 0
  capacity = Infinity

  open = async (): Promise<UpstreamConnection> => {
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    if (this.openCount >= this.capacity) {
      throw new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason: 'too-many-connections' })
    }
    this.openCount++
    const listeners: Array<() => void> = []
    const connection = {
      closed: false,
      run: async () => ({ rows: [], state: 'idle' as const }),
      status: async () => await new Promise<never>(() => {}),
      demote: async () => await new Promise<never>(() => {}),
      onClose: (listener: () => void) => { listeners.push(listener) },
      close: () => {
        if (!connection.closed) {
          connection.closed = true
          this.openCount--
          listeners.forEach((listener) => listener())
        }
      }
    }
    return connection
  }
}

describe('a pool of upstream connections', () => {
  let clock: Clock
  let port: CountingPort
  const pools: UpstreamPool[] = []

  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
    port = new CountingPort()
  })
  afterEach(() => {
    pools.splice(0).forEach((pool) => pool.close())
    clock.uninstall()
  })
  const createPool = (maximum = 2, retained = maximum): UpstreamPool => {
    const pool = createUpstreamPool({
      target: { group: 'g', upstream: 'u', endpoint: { address: '127.0.0.1', port: 1 } },
      port,
      limits: () => ({ retained, maximum }),
      events: NO_POOL_EVENTS
    })
    pools.push(pool)
    return pool
  }
  const request = { organisation: 'o', values: new Map(), priority: 1, waitMs: 3000, beginsTransaction: false }
  /** Requests connections concurrently and returns the leases that are granted within 40 ms. */
  const acquire = async (pool: UpstreamPool, count: number): Promise<ConnectionLease[]> => {
    const leases: ConnectionLease[] = []
    for (let index = 0; index < count; index++) {
      void pool.acquire({ ...request, waitMs: 40 }).then((lease) => leases.push(lease), () => {})
    }
    await clock.tickAsync(50)
    return leases
  }

  it('counts a connection that was leased again when its former lease is ended twice', async () => {
    // Otherwise the pool loses count of the connection and opens more than its maximum.
    const pool = createPool()
    const [first] = await acquire(pool, 1)
    first!.release()
    const [second] = await acquire(pool, 1)
    first!.release()
    expect([second!.connection === first!.connection, pool.inUse, pool.size]).toEqual([true, 1, 1])
  })

  it('opens no more than its maximum although the upstream has capacity', async () => {
    const pool = createPool()
    const leases = await acquire(pool, 6)
    expect(leases.length).toEqual(2)
    leases.forEach((lease) => lease.release())
    await clock.tickAsync(10_000)
    expect(port.openCount).toEqual(2)
  })

  it('closes idle connections above the number to retain', async () => {
    const pool = createPool(4, 2)
    const leases = await acquire(pool, 4)
    leases.forEach((lease) => lease.release())
    await clock.tickAsync(10_000)
    expect(pool.size).toEqual(2)
  })

  it('stays within its maximum after the upstream was full', async () => {
    port.capacity = 4
    const hosts = [createPool(), createPool()]
    port.openCount = 1
    const leases: ConnectionLease[] = []
    for (const pool of hosts) {
      leases.push(...await acquire(pool, 6))
    }
    leases.forEach((lease) => lease.release())
    port.openCount--
    port.capacity = 5
    await clock.tickAsync(6000)
    expect(hosts.map(({ size }) => size <= 2)).toEqual([true, true])
  })

  it('serves waiting requests when the upstream has capacity again', async () => {
    port.capacity = 0
    const pool = createPool()
    let servedAt = Infinity
    void pool.acquire(request).then(() => { servedAt = performance.now() }, () => {})
    await clock.tickAsync(1000)
    port.capacity = 1
    await clock.tickAsync(300)
    expect(servedAt < Infinity).toEqual(true)
  })

  it('serves requests by priority', async () => {
    port.capacity = 1
    const pool = createPool(1)
    const [first] = await acquire(pool, 1)
    const order: string[] = []
    const queue = (name: string, priority: number): void => {
      void pool.acquire({ ...request, priority }).then((lease) => {
        order.push(name)
        lease.release()
      }, () => {})
    }
    queue('later', 2)
    queue('urgent', 0)
    await clock.tickAsync(10)
    first!.release()
    await clock.tickAsync(50)
    expect(order).toEqual(['urgent', 'later'])
  })

  it('separates connections by organisation, and closes the one idle longest to open another', async () => {
    const pool = createPool(2)
    const take = async (organisation: string): Promise<ConnectionLease> => {
      const lease = pool.acquire({ ...request, organisation })
      await clock.tickAsync(10)
      return await lease
    }
    const red = await take('red')
    const blue = await take('blue')
    red.release()
    await clock.tickAsync(1)
    blue.release()
    const again = await take('blue')
    expect([again.connection === blue.connection, again.organisation]).toEqual([true, 'blue'])
    const green = await take('green')
    expect([green.organisation, red.connection.closed, port.openCount]).toEqual(['green', true, 2])
  })

  it('retains surplus connections longer if several organisations use the upstream', async () => {
    const pool = createPool(4, 1)
    for (const organisation of ['red', 'blue', 'green']) {
      void pool.acquire({ ...request, organisation }).then((lease) => lease.release())
    }
    await clock.tickAsync(8000)
    expect(pool.size).toEqual(3)
    await clock.tickAsync(6000)
    expect(pool.size).toEqual(1)
  })

  it('leases a connection of any organisation to a request without organisation', async () => {
    const pool = createPool(1)
    const red = pool.acquire({ ...request, organisation: 'red' })
    await clock.tickAsync(10)
    const lease = await red
    lease.release()
    const any = await pool.acquire({ ...request, organisation: undefined })
    expect(any.connection === lease.connection).toEqual(true)
  })

  it('serves a waiting organisation when another one returns a connection', async () => {
    const pool = createPool(1)
    const red = pool.acquire({ ...request, organisation: 'red' })
    await clock.tickAsync(10)
    let servedAt = Infinity
    void pool.acquire({ ...request, organisation: 'blue' }).then(() => { servedAt = performance.now() }, () => {})
    await clock.tickAsync(500)
    expect(servedAt).toEqual(Infinity)
    ;(await red).release()
    await clock.tickAsync(20)
    expect([servedAt < Infinity, port.openCount]).toEqual([true, 1])
  })
})
