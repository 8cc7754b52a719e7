import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { Deadline } from '../../../src/core/time/deadline.ts'
import { createUpstreamHealth } from '../../../src/entry/pools/upstream-health.ts'
import { NO_POOL_EVENTS } from '../../fixtures/pool-events.ts'
import { createUpstreamPool, type UpstreamPool } from '../../../src/entry/pools/upstream-pool.ts'
import type { UpstreamConnection } from '../../../src/entry/ports/index.ts'
import { runCommand, type RunOptions } from '../../../src/entry/requests/run-statement.ts'

const CONNECTIONS = 3
const TIMEOUT_MS = 800

describe('idle connections to an upstream that have all gone silent', () => {
  let clock: Clock
  let pool: UpstreamPool
  let opened = 0
  let areOpenOnesSilent = false
  const health = createUpstreamHealth()

  const open = async (): Promise<UpstreamConnection> => {
    opened++
    const isNew = areOpenOnesSilent
    const connection = {
      closed: false,
      run: async () => areOpenOnesSilent && !isNew
        ? await new Promise<never>(() => {})
        : { rows: [], state: 'idle' as const },
      status: async () => await new Promise<never>(() => {}),
      demote: async () => await new Promise<never>(() => {}),
      onClose: () => {},
      close: () => { connection.closed = true },
      destroy: () => { connection.closed = true }
    }
    return connection
  }
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
    pool = createUpstreamPool({
      target: { group: 'g', upstream: 'u', endpoint: { address: '127.0.0.1', port: 1 } },
      port: { open },
      limits: () => ({ retained: CONNECTIONS, maximum: CONNECTIONS }),
      events: NO_POOL_EVENTS
    })
  })
  afterEach(() => {
    pool.close()
    clock.uninstall()
  })
  const acquire = async () => {
    const lease = pool.acquire({ organisation: 'o', values: new Map(), priority: 1, waitMs: 1000 } as never)
    await clock.tickAsync(1)
    return await lease
  }
  const run = async (): Promise<'done' | 'lost'> => {
    const lease = await acquire()
    const running = runCommand({ type: 'begin' } as never, {
      resources: { pool, health } as RunOptions['resources'],
      lease,
      deadline: new Deadline(TIMEOUT_MS),
      admit: () => undefined,
      onFinished: () => {},
      onSilence: () => false
    }).then(() => 'done' as const, () => 'lost' as const)
    await clock.tickAsync(TIMEOUT_MS + 1)
    return await running
  }

  it('cost one statement before a new connection serves the next', async () => {
    const leases = [await acquire(), await acquire(), await acquire()]
    leases.forEach((lease) => lease.release())
    areOpenOnesSilent = true
    expect([await run(), await run()]).toEqual(['lost', 'done'])
    expect(opened).toEqual(CONNECTIONS + 1)
  })
})
