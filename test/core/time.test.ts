import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { repeat } from '../../src/core/time/repeat.ts'
import { createWaiters } from '../../src/core/time/waiters.ts'

let clock: Clock
beforeEach(() => { clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
afterEach(() => { clock.uninstall() })

describe('repeat', () => {
  it('backs off while the work fails, and returns to the interval once it succeeds', async () => {
    const startTimes: number[] = []
    let fails = true
    const stop = repeat(10, async () => {
      startTimes.push(performance.now())
      if (fails) {
        throw new Error('not yet')
      }
    }, () => {}, 100, 400)
    await clock.tickAsync(3000)
    const pauses = startTimes.slice(1).map((turn, index) => turn - startTimes[index]!)
    // Each pause is 75% to 125% of its mean: 100, 200, 400, 400 ms.
    expect(pauses[0]! <= 125).toEqual(true)
    expect(pauses.slice(2).every((pause) => pause >= 299 && pause <= 501)).toEqual(true)
    fails = false
    await clock.tickAsync(600)
    const before = startTimes.length
    await clock.tickAsync(100)
    expect(startTimes.length - before >= 7).toEqual(true)
    stop()
    await clock.tickAsync(100)
    const stopped = startTimes.length
    await clock.tickAsync(1000)
    expect(startTimes.length).toEqual(stopped)
  })
})

describe('createWaiters', () => {
  it('resolves immediately, on notification and on timeout', async () => {
    const waiters = createWaiters()
    let found: string | undefined = 'there'
    const look = (): string | undefined => found
    expect(await waiters.until(look, 1000)).toEqual('there')
    found = undefined
    const waiting = waiters.until(look, 1000)
    waiters.notify()
    found = 'later'
    waiters.notify()
    expect(await waiting).toEqual('later')
    found = undefined
    const timedOut = waiters.until(look, 1000)
    await clock.tickAsync(1000)
    expect(await timedOut).toEqual(undefined)
  })
})
