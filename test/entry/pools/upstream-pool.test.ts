import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { RequestError } from '../../../src/core/errors/index.ts'
import { createUpstreamPool, type UpstreamPool } from '../../../src/entry/pools/upstream-pool.ts'
import type { ConnectionLease } from '../../../src/entry/pools/types.ts'
import type { UpstreamConnection, UpstreamPort } from '../../../src/entry/ports/index.ts'

/** An upstream that only counts connections. */
class CountingPort implements UpstreamPort {
  taken = 0
  room = Infinity

  open = async (): Promise<UpstreamConnection> => {
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    if (this.taken >= this.room) {
      throw new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason: 'too-many-connections' })
    }
    this.taken++
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
          this.taken--
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
    clock = fakeTimers.install()
    port = new CountingPort()
  })
  afterEach(() => {
    pools.splice(0).forEach((pool) => pool.close())
    clock.uninstall()
  })
  const createPool = (share = 2, kept = share): UpstreamPool => {
    const pool = createUpstreamPool({
      target: { group: 'g', upstream: 'u', endpoint: { address: '127.0.0.1', port: 1 } },
      port,
      limits: () => ({ kept, share }),
      events: { onAnswer: () => {}, onFault: () => {} }
    })
    pools.push(pool)
    return pool
  }
  const request = { organisation: 'o', values: new Map<string, string>(), priority: 1, waitMs: 3000 }
  /** Asks for connections at once; those that are not there within the tick are not waited for. */
  const acquire = async (pool: UpstreamPool, count: number): Promise<ConnectionLease[]> => {
    const leases: ConnectionLease[] = []
    for (let index = 0; index < count; index++) {
      void pool.acquire({ ...request, waitMs: 40 }).then((lease) => leases.push(lease), () => {})
    }
    await clock.tickAsync(50)
    return leases
  }

  it('opens no more than its share, also while the upstream has room', async () => {
    const pool = createPool()
    const leases = await acquire(pool, 6)
    expect(leases.length).toEqual(2)
    leases.forEach((lease) => lease.release())
    await clock.tickAsync(10_000)
    expect(port.taken).toEqual(2)
  })

  it('keeps only a part of its share when idle, so that hosts that come back find room', async () => {
    const pool = createPool(4, 2)
    const leases = await acquire(pool, 4)
    leases.forEach((lease) => lease.release())
    await clock.tickAsync(10_000)
    expect(pool.size).toEqual(2)
  })

  it('keeps to its share once the upstream had no room, so that every host gets its own', async () => {
    port.room = 4
    const hosts = [createPool(), createPool()]
    port.taken = 1
    const leases: ConnectionLease[] = []
    for (const pool of hosts) {
      leases.push(...await acquire(pool, 6))
    }
    leases.forEach((lease) => lease.release())
    port.taken--
    port.room = 5
    await clock.tickAsync(6000)
    expect(hosts.map(({ size }) => size <= 2)).toEqual([true, true])
  })

  it('serves those that wait as soon as there is room again', async () => {
    port.room = 0
    const pool = createPool()
    let servedAt = Infinity
    void pool.acquire(request).then(() => { servedAt = performance.now() }, () => {})
    await clock.tickAsync(1000)
    port.room = 1
    await clock.tickAsync(300)
    expect(servedAt < Infinity).toEqual(true)
  })

  it('serves the more urgent first', async () => {
    port.room = 1
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

  it('gives each organisation connections of its own, and closes the one idle for longest to make room', async () => {
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
    expect([green.organisation, red.connection.closed, port.taken]).toEqual(['green', true, 2])
  })

  it('keeps connections of several organisations for longer, since none can take the place of another', async () => {
    const pool = createPool(4, 1)
    for (const organisation of ['red', 'blue', 'green']) {
      void pool.acquire({ ...request, organisation }).then((lease) => lease.release())
    }
    await clock.tickAsync(8000)
    expect(pool.size).toEqual(3)
    await clock.tickAsync(6000)
    expect(pool.size).toEqual(1)
  })

  it('takes a connection of any organisation for what runs on behalf of none', async () => {
    const pool = createPool(1)
    const red = pool.acquire({ ...request, organisation: 'red' })
    await clock.tickAsync(10)
    const lease = await red
    lease.release()
    const any = await pool.acquire({ ...request, organisation: undefined })
    expect(any.connection === lease.connection).toEqual(true)
  })

  it('lets an organisation wait while others hold all connections, and serves it when one comes back', async () => {
    const pool = createPool(1)
    const red = pool.acquire({ ...request, organisation: 'red' })
    await clock.tickAsync(10)
    let servedAt = Infinity
    void pool.acquire({ ...request, organisation: 'blue' }).then(() => { servedAt = performance.now() }, () => {})
    await clock.tickAsync(500)
    expect(servedAt).toEqual(Infinity)
    ;(await red).release()
    await clock.tickAsync(20)
    expect([servedAt < Infinity, port.taken]).toEqual([true, 1])
  })
})
