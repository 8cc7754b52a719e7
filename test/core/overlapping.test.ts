import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { firstOfOverlapping } from '../../src/core/time/overlapping.ts'

describe('overlapping attempts', () => {
  let clock: Clock
  // The test runner keeps the other functions of the clock; it would lose results otherwise.
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  })
  afterEach(() => clock.uninstall())

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

  // Guards against attempts that share a narrow link with an answer that is arriving.
  it('are not followed by others once one of them is being answered, and wait for its answer', async () => {
    let attempts = 0
    const answer = firstOfOverlapping(async (onAnswering) => {
      attempts++
      if (attempts === 1) {
        await new Promise((resolve) => setTimeout(resolve, 1500))
        throw new Error('lost')
      }
      onAnswering()
      await new Promise((resolve) => setTimeout(resolve, 3000))
      return 'answer'
    }, { intervalMs: 100, maximum: 15 })
    await clock.tickAsync(5000)
    expect([await answer, attempts]).toEqual(['answer', 2])
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
