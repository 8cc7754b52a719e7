/**
 * Guards against a pool that keeps refusing every statement after its upstream was slow, because no statement runs that
 * could update the mean latency.
 */
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { Deadline, pause } from '../../../src/core/time/deadline.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT } from '../../../src/emulation/embedded/sizes.ts'
import { createUpstream } from '../../../src/emulation/standin/upstream.ts'
import { serveUpstream, type UpstreamServer } from '../../../src/emulation/standin/upstream-server.ts'
import { createConnectionPool, type ConnectionPool } from '../../../src/mysql-proxy/upstreams/connection-pool.ts'

/** Duration of a statement while the upstream is slow, in milliseconds. */
const SLOW_MS = 60
/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 100
const SHARE = 4
/** Attempts after which the pool counts as never giving the expected outcome. */
const MAXIMUM_ATTEMPTS = 1000

describe('a connection pool whose upstream was slow', () => {
  let server: UpstreamServer
  let pool: ConnectionPool
  let clock: Clock
  before(async () => {
    const upstream = await createUpstream({
      name: 'u', lagMs: 5, schema: [], findPeer: () => undefined, reachable: () => true
    })
    const sizes = { slots: SHARE, connections: SHARE, connectMs: 0, readMs: 0, writeMs: 0 }
    server = await serveUpstream({ upstream, address: '127.0.0.1', port: 0, ...EMBEDDED_ACCOUNT, ...sizes })
    pool = createConnectionPool({
      group: 'g',
      access: { name: 'u', address: '127.0.0.1', port: server.port, ...EMBEDDED_ACCOUNT, database: 'g' },
      dialer: createDialer(),
      share: SHARE,
      initialConcurrency: 2,
      queueCapacity: 10
    })
    // All connections are opened before the clock is paused.
    const pinned = await Promise.all(Array.from({ length: 2 }, async () =>
      await pool.pin({ access: 'write', priority: 5, deadline: new Deadline(60_000) })))
    pinned.forEach(({ release }) => release(true))
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  })
  after(async () => {
    pool.close()
    await server.close()
    clock.uninstall()
  })
  const createRequest = () => ({ access: 'read', priority: 5, deadline: new Deadline(DEADLINE_MS) } as const)
  /** Advances the clock until a promise has settled. */
  const settle = async <Result>(pending: Promise<Result>): Promise<Result> => {
    const state = { isSettled: false }
    void pending.finally(() => { state.isSettled = true }).catch(() => {})
    while (!state.isSettled) {
      await clock.tickAsync(1)
    }
    return await pending
  }
  const run = async (durationMs: number): Promise<'done' | 'refused'> => {
    try {
      await settle(pool.run(createRequest(), async () => await pause(durationMs)))
      return 'done'
    } catch (thrown) {
      expect((thrown as RequestError).entry).toEqual('Overloaded')
      return 'refused'
    }
  }
  const runUntil = async (outcome: 'done' | 'refused', durationMs: number): Promise<void> => {
    for (let attempts = 0; await run(durationMs) !== outcome; attempts++) {
      expect(attempts < MAXIMUM_ATTEMPTS).toEqual(true)
      await clock.tickAsync(10)
    }
  }

  it('refuses a statement immediately when too little time remains', async () => {
    await runUntil('refused', SLOW_MS)
    expect(pool.state().running).toEqual(0)
  })

  it('starts one statement at a time while the upstream stays slow', async () => {
    await runUntil('refused', SLOW_MS)
    const running = { current: 0, maximum: 0 }
    const work = async (): Promise<void> => {
      running.current++
      running.maximum = Math.max(running.maximum, running.current)
      await pause(SLOW_MS)
      running.current--
    }
    let started = 0
    for (let rounds = 0; started < 2; rounds++) {
      expect(rounds < MAXIMUM_ATTEMPTS).toEqual(true)
      const outcomes = await settle(Promise.allSettled(Array.from({ length: 6 }, async () =>
        await pool.run(createRequest(), work))))
      started += outcomes.filter(({ status }) => status === 'fulfilled').length
      await clock.tickAsync(10)
    }
    expect(running.maximum).toEqual(1)
  })

  it('runs one statement after each 500 ms without one while each takes over half of its deadline', async () => {
    await runUntil('refused', SLOW_MS)
    const startedAt: number[] = []
    for (let count = 0; count < 400; count++) {
      const outcome = await run(SLOW_MS)
      outcome === 'done' && startedAt.push(performance.now() - SLOW_MS)
      await clock.tickAsync(10)
    }
    const gaps = startedAt.slice(1).map((at, index) => at - startedAt[index]!)
    expect([gaps.length > 5, gaps.every((gap) => gap > 500 + SLOW_MS && gap < 600 + SLOW_MS)]).toEqual([true, true])
  })

  it('serves statements again once the upstream is fast', async () => {
    await runUntil('refused', SLOW_MS)
    await runUntil('done', 1)
    expect(await run(1)).toEqual('done')
    expect(pool.state().meanMs < DEADLINE_MS / 2).toEqual(true)
  })
})
