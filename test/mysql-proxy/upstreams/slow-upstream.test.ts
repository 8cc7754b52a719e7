/**
 * A statement is not started with less than twice the mean latency left. After an upstream had been slow for a while
 * the mean stayed high, all statements were refused for it, and none ran that could have lowered it: the home refused
 * the upstream's work until it was restarted. `state` showed `running=0`, `queued=0` and the same `meanMs` for good.
 * Now, when none has run for a while, one statement at a time is started all the same.
 */
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { Deadline, pause } from '../../../src/core/time/deadline.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT } from '../../../src/emulation/embedded/sizes.ts'
import { createConnectionPool, type ConnectionPool } from '../../../src/mysql-proxy/upstreams/connection-pool.ts'
import { GROUP, startTestDeployment, type TestDeployment } from '../../fixtures/deployment.ts'

/** Time of a statement while the upstream is slow, and of each request, in milliseconds. */
const SLOW_MS = 60
const DEADLINE_MS = 100

describe('a pool whose upstream was slow for a while', () => {
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
      slots: 2,
      queue: 10
    })
  })
  after(async () => {
    pool.close()
    await deployment.close()
  })
  const requestNow = () => ({ access: 'read', priority: 5, deadline: new Deadline(DEADLINE_MS) } as const)
  const run = async (takesMs: number): Promise<'done' | 'refused'> => {
    try {
      await pool.run(requestNow(), async () => await pause(takesMs))
      return 'done'
    } catch (thrown) {
      expect((thrown as RequestError).entry).toEqual('Overloaded')
      return 'refused'
    }
  }
  const runUntil = async (outcome: 'done' | 'refused', takesMs: number): Promise<void> => {
    while (await run(takesMs) !== outcome) {
      await pause(10)
    }
  }

  it('refuses at once what it has no time for', async () => {
    await runUntil('refused', SLOW_MS)
    expect(pool.state().running).toEqual(0)
  })

  it('starts one statement at a time to see whether the upstream is still slow', async () => {
    await runUntil('refused', SLOW_MS)
    const running = { now: 0, most: 0 }
    const measure = async (): Promise<void> => {
      running.now++
      running.most = Math.max(running.most, running.now)
      await pause(SLOW_MS)
      running.now--
    }
    let started = 0
    while (started < 2) {
      const outcomes = await Promise.allSettled(Array.from({ length: 6 }, async () =>
        await pool.run(requestNow(), measure)))
      started += outcomes.filter(({ status }) => status === 'fulfilled').length
      await pause(10)
    }
    expect(running.most).toEqual(1)
  })

  it('serves again once it is fast', async () => {
    await runUntil('refused', SLOW_MS)
    await runUntil('done', 1)
    expect(await run(1)).toEqual('done')
    expect(pool.state().meanMs < DEADLINE_MS / 2).toEqual(true)
  })
})
