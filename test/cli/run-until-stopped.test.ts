import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { runUntilStopped } from '../../src/cli/run-until-stopped.ts'
import { registerPlugin, startKernel, type Kernel } from '../../src/core/kernel/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { pause } from '../../src/core/time/deadline.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGUSR2'] as const

/** Runs a process whose start ends when the test says so. */
function setUp () {
  const events: string[] = []
  const kernel = { stop: async () => { events.push('stopped') } } as unknown as Kernel
  let finishStart = (): void => {}
  const running = runUntilStopped({
    logger: silentLogger,
    start: async () => {
      await new Promise<void>((resolve) => { finishStart = resolve })
      return kernel
    },
    onStarted: () => events.push('started'),
    exit: (code) => events.push(`exit ${code}`)
  })
  return { events, running, finishStart: () => finishStart() }
}

describe('a process that is told to stop', () => {
  afterEach(() => SIGNALS.forEach((signal) => process.removeAllListeners(signal)))

  it('while it starts, stops in order as soon as it can', async () => {
    const { events, running, finishStart } = setUp()
    process.emit('SIGTERM')
    process.emit('SIGTERM')
    expect(events).toEqual([])
    finishStart()
    await running
    await pause(1)
    expect(events).toEqual(['stopped', 'exit 0'])
  })

  it('after its start, stops in order once', async () => {
    const { events, running, finishStart } = setUp()
    finishStart()
    await running
    process.emit('SIGTERM')
    process.emit('SIGINT')
    await pause(1)
    expect(events).toEqual(['started', 'stopped', 'exit 0'])
  })

  // Guards against a grace period that begins when a starved process reads the signal.
  it('counts the stop from before the time in which it was kept from running', async () => {
    const requested: number[] = []
    const kernel = { stop: async (requestedAt: number) => { requested.push(requestedAt) } } as unknown as Kernel
    await runUntilStopped({
      logger: silentLogger,
      start: async () => kernel,
      onStarted: () => {},
      exit: () => {}
    })
    await pause(100)
    const sentAt = performance.now()
    process.kill(process.pid, 'SIGTERM')
    while (performance.now() < sentAt + 300) {
      // The signal has arrived and is not handled.
    }
    await pause(20)
    expect(requested.map((requestedAt) => requestedAt <= sentAt)).toEqual([true])
  })

  // Guards against a step of the stop that lasts until SIGKILL.
  it('exits at the limit although its stop has not ended', async () => {
    const kernel = { stop: async () => await new Promise(() => {}) } as unknown as Kernel
    const exits: number[] = []
    const exited = new Promise<void>((resolve) => {
      void runUntilStopped({
        logger: silentLogger,
        start: async () => kernel,
        onStarted: () => {},
        stopLimitMs: 50,
        exit: (code) => {
          exits.push(code)
          resolve()
        }
      })
    })
    process.emit('SIGTERM')
    await exited
    expect(exits).toEqual([0])
  })

  it('starts no further plug-in, and closes those that run', async () => {
    const events: string[] = []
    const controller = new AbortController()
    registerPlugin({
      name: 'first' as never,
      dependencies: [],
      start: () => {
        events.push('first started')
        controller.abort()
        return { service: {} as never, close: () => { events.push('first closed') } }
      }
    })
    registerPlugin({
      name: 'second' as never,
      dependencies: ['first' as never],
      start: () => {
        events.push('second started')
        return { service: {} as never }
      }
    })
    const kernel = await startKernel({
      plugins: ['second' as never], settings: {}, logger: silentLogger, dialer: createDialer(), signal: controller.signal
    })
    await kernel.stop()
    expect(events).toEqual(['first started', 'first closed'])
  })
})
