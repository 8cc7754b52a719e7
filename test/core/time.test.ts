import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { repeat } from '../../src/core/time/repeat.ts'
import { createWaiters } from '../../src/core/time/waiters.ts'

let clock: Clock
beforeEach(() => { clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
afterEach(() => { clock.uninstall() })

describe('work that is done again and again', () => {
  it('is tried with growing pauses while it fails, and as usual once it has succeeded', async () => {
    const turns: number[] = []
    let fails = true
    const stop = repeat(10, async () => {
      turns.push(performance.now())
      if (fails) {
        throw new Error('not yet')
      }
    }, () => {}, 100, 400)
    await clock.tickAsync(3000)
    const pauses = turns.slice(1).map((turn, index) => turn - turns[index]!)
    // Each pause is drawn from three quarters to five quarters of its mean: 100, 200, 400, 400 ms.
    expect(pauses[0]! <= 125).toEqual(true)
    expect(pauses.slice(2).every((pause) => pause >= 299 && pause <= 501)).toEqual(true)
    fails = false
    await clock.tickAsync(600)
    const before = turns.length
    await clock.tickAsync(100)
    expect(turns.length - before >= 7).toEqual(true)
    stop()
    await clock.tickAsync(100)
    const stopped = turns.length
    await clock.tickAsync(1000)
    expect(turns.length).toEqual(stopped)
  })
})

describe('waiting for what others bring about', () => {
  it('ends at once when it is there, when it comes, and when time runs out', async () => {
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
    const inVain = waiters.until(look, 1000)
    await clock.tickAsync(1000)
    expect(await inVain).toEqual(undefined)
  })
})
