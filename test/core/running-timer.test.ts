import { install, type Clock } from '@sinonjs/fake-timers'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { startRunningTimer } from '../../src/core/time/running-timer.ts'
import { startStallMeter } from '../../src/core/time/stall-meter.ts'

describe('the time in which a process runs', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  it('ends a timer after the timeout while the process runs', () => {
    let ended = 0
    startRunningTimer(() => { ended++ }, 150)
    clock.tick(149)
    expect(ended).toEqual(0)
    clock.tick(1)
    clock.tick(1)
    expect(ended).toEqual(1)
  })

  it('does not count the time in which the process did not run', () => {
    let ended = 0
    startRunningTimer(() => { ended++ }, 150)
    clock.tick(50)
    clock.jump(800)
    expect(ended).toEqual(0)
    clock.tick(74)
    expect(ended).toEqual(0)
    clock.tick(2)
    expect(ended).toEqual(1)
  })

  it('ends at last although the process hardly runs', () => {
    let ended = 0
    startRunningTimer(() => { ended++ }, 150)
    clock.jump(800)
    clock.jump(800)
    clock.tick(1)
    expect(ended).toEqual(1)
  })

  it('ends no timer that was cancelled', () => {
    let ended = 0
    const cancel = startRunningTimer(() => { ended++ }, 150)
    clock.tick(100)
    cancel()
    clock.tick(1000)
    expect(ended).toEqual(0)
  })

  it('measures the time in which the process did not run', () => {
    const meter = startStallMeter()
    clock.tick(1000)
    expect(meter.stalledMs).toEqual(0)
    clock.jump(500)
    clock.tick(100)
    expect([meter.stalledMs, meter.runningMs]).toEqual([480, 1120])
    meter.close()
  })
})
