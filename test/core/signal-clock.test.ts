import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { startAlignedInterval } from '../../src/core/time/aligned-interval.ts'
import { startSignalClock, type SignalClock } from '../../src/core/time/signal-clock.ts'

describe('startSignalClock', () => {
  let clock: Clock
  let signals: SignalClock
  beforeEach(() => {
    clock = fakeTimers.install()
    signals = startSignalClock()
  })
  afterEach(() => {
    signals.close()
    clock.uninstall()
  })
  const assumedDelay = (): number => performance.now() - signals.earliestSentAt()

  // A longer delay would end answers of a planned stop earlier than necessary.
  it('assumes a short delay while its observations are punctual', () => {
    clock.tick(1050)
    expect(assumedDelay()).toEqual(40)
  })

  // A shorter delay would count the grace period from the end of a stall, and the process would be killed in its stop.
  it('assumes that a signal was sent before a stall, handled before or after the late observation', () => {
    clock.tick(1000)
    clock.jump(250)
    expect(assumedDelay() >= 250).toEqual(true)
    clock.tick(30)
    expect(assumedDelay() >= 280).toEqual(true)
  })

  it('assumes at most half a second', () => {
    clock.tick(1000)
    clock.jump(3000)
    expect(assumedDelay()).toEqual(500)
  })

  it('assumes a short delay again after the stall', () => {
    clock.tick(1000)
    clock.jump(250)
    clock.tick(500)
    expect(assumedDelay()).toEqual(40)
  })
})

describe('startAlignedInterval', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  // Timers that expire at different times wake an idle process once each.
  it('runs work at multiples of the interval, whenever it was started, until it is stopped', () => {
    const times: number[] = []
    clock.tick(130)
    const stopFirst = startAlignedInterval(() => times.push(performance.now()), 500)
    clock.tick(200)
    const stopSecond = startAlignedInterval(() => times.push(performance.now()), 500)
    clock.tick(1000)
    expect(times).toEqual([500, 500, 1000, 1000])
    stopFirst()
    clock.tick(500)
    stopSecond()
    clock.tick(2000)
    expect(times).toEqual([500, 500, 1000, 1000, 1500])
  })

  it('keeps its times after a stall', () => {
    const times: number[] = []
    const stop = startAlignedInterval(() => times.push(performance.now()), 500)
    clock.jump(1300)
    clock.tick(1000)
    stop()
    expect(times).toEqual([1300, 2000])
  })
})
