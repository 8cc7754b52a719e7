import { install, type Clock } from '@sinonjs/fake-timers'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { registerPlugin, startKernel } from '../../src/core/kernel/index.ts'
import type { LogFields } from '../../src/core/logger/index.ts'
import { pause } from '../../src/core/time/deadline.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'

describe('the steps of a stop', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('are logged with their durations if they take time', async () => {
    const lines: LogFields[] = []
    registerPlugin({
      name: 'slow' as never,
      dependencies: [],
      start: () => ({
        service: {} as never,
        drain: async () => await pause(700),
        close: async () => await pause(200)
      })
    })
    registerPlugin({
      name: 'fast' as never,
      dependencies: ['slow' as never],
      start: () => ({ service: {} as never, drain: async () => await pause(1), close: () => {} })
    })
    const kernel = await startKernel({
      plugins: ['fast' as never],
      settings: {},
      logger: { log: (_level, _event, fields = {}) => lines.push(fields) },
      dialer: createDialer()
    })
    const stopping = kernel.stop()
    await clock.tickAsync(1000)
    await stopping
    expect(lines).toEqual([
      { step: 'drain slow', tookMs: 700, endedMs: 701 }, { step: 'close slow', tookMs: 200, endedMs: 901 }
    ])
  })
})
