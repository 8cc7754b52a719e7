import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { firstOfOverlapping } from '../../src/core/time/overlapping.ts'

describe('overlapping attempts', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(async () => {
    // Runs what the test runner has queued on the paused clock; it would lose the results otherwise.
    await clock.tickAsync(10)
    clock.uninstall()
  })

  it('return the answer of a later attempt while the first one is lost', async () => {
    let attempts = 0
    const answer = firstOfOverlapping(async () => {
      attempts++
      return attempts < 3 ? await new Promise<string>(() => {}) : 'answer'
    }, { intervalMs: 100, maximum: 5 })
    await clock.tickAsync(250)
    expect(await answer).toEqual('answer')
    await clock.tickAsync(1000)
    expect(attempts).toEqual(3)
  })

  it('fail with the first one, and are limited in number', async () => {
    let attempts = 0
    const answer = firstOfOverlapping(async () => {
      attempts++
      await new Promise((resolve) => setTimeout(resolve, 1500))
      throw new Error(`attempt ${attempts}`)
    }, { intervalMs: 100, maximum: 4 }).catch((thrown: Error) => thrown.message)
    await clock.tickAsync(1500)
    expect(await answer).toEqual('attempt 4')
    expect(attempts).toEqual(4)
  })
})
