import { install, type Clock } from '@sinonjs/fake-timers'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { registerPlugin, startKernel } from '../../src/core/kernel/index.ts'
import { silentLogger, type LogFields } from '../../src/core/logger/index.ts'
import { pause } from '../../src/core/time/deadline.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'

const plugin = (name: string, dependencies: string[], ms: { drain: number, close: number }): void => registerPlugin({
  name: name as never,
  dependencies: dependencies as never[],
  start: () => ({
    service: {} as never,
    drain: async () => await pause(ms.drain),
    close: async () => await pause(ms.close)
  })
})

describe('the steps of a stop', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('are logged with their durations if they take time', async () => {
    const lines: LogFields[] = []
    plugin('slow', [], { drain: 700, close: 200 })
    plugin('fast', ['slow'], { drain: 1, close: 0 })
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

  // Guards against waits that add up after the last answers, until the grace period is over.
  it('close the plug-ins together, once all have drained', async () => {
    plugin('links', [], { drain: 100, close: 200 })
    plugin('callers', ['links'], { drain: 2000, close: 700 })
    const startedAt = performance.now()
    const kernel = await startKernel({
      plugins: ['callers' as never], settings: {}, logger: silentLogger, dialer: createDialer()
    })
    const stopping = kernel.stop().then(() => performance.now() - startedAt)
    await clock.tickAsync(3000)
    expect(await stopping).toEqual(2800)
  })
})
