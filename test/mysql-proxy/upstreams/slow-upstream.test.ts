/**
 * Guards against a pool that keeps refusing every statement after its upstream was slow, because no statement runs that
 * could update the mean latency.
 */
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { Deadline, pause } from '../../../src/core/time/deadline.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT } from '../../../src/emulation/embedded/sizes.ts'
import { createConnectionPool, type ConnectionPool } from '../../../src/mysql-proxy/upstreams/connection-pool.ts'
import { GROUP, startTestDeployment, type TestDeployment } from '../../fixtures/deployment.ts'

/** Duration of a statement while the upstream is slow, in milliseconds. */
const SLOW_MS = 60
/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 100

describe('a connection pool whose upstream was slow', () => {
  let deployment: TestDeployment
  let pool: ConnectionPool
  before(async () => {
    deployment = await startTestDeployment()
    const { port, upstream: { name } } = deployment.primaryOf(GROUP)
    pool = createConnectionPool({
      group: GROUP,
      access: { name, address: '127.0.0.1', port, ...EMBEDDED_ACCOUNT, database: GROUP },
      dialer: createDialer(),
      share: 4,
      initialConcurrency: 2,
      queueCapacity: 10
    })
  })
  after(async () => {
    pool.close()
    await deployment.close()
  })
  const createRequest = () => ({ access: 'read', priority: 5, deadline: new Deadline(DEADLINE_MS) } as const)
  const run = async (durationMs: number): Promise<'done' | 'refused'> => {
    try {
      await pool.run(createRequest(), async () => await pause(durationMs))
      return 'done'
    } catch (thrown) {
      expect((thrown as RequestError).entry).toEqual('Overloaded')
      return 'refused'
    }
  }
  const runUntil = async (outcome: 'done' | 'refused', durationMs: number): Promise<void> => {
    while (await run(durationMs) !== outcome) {
      await pause(10)
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
    while (started < 2) {
      const outcomes = await Promise.allSettled(Array.from({ length: 6 }, async () =>
        await pool.run(createRequest(), work)))
      started += outcomes.filter(({ status }) => status === 'fulfilled').length
      await pause(10)
    }
    expect(running.maximum).toEqual(1)
  })

  it('serves statements again once the upstream is fast', async () => {
    await runUntil('refused', SLOW_MS)
    await runUntil('done', 1)
    expect(await run(1)).toEqual('done')
    expect(pool.state().meanMs < DEADLINE_MS / 2).toEqual(true)
  })
})
