import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createBoundedWait } from '../../src/core/time/bounded-wait.ts'

describe('a bounded wait', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] }) })
  afterEach(() => { clock.uninstall() })

  it('settles with the first outcome and clears its timer', async () => {
    const wait = createBoundedWait<string>({ timeoutMs: 100, onTimeout: () => new Error('too late') })
    wait.resolve('first')
    wait.resolve('second')
    wait.reject(new Error('third'))
    expect([await wait.result, wait.isSettled, clock.countTimers()]).toEqual(['first', true, 0])
  })

  it('is rejected on timeout, after the handler has removed it from its queue', async () => {
    let isQueued = true
    const wait = createBoundedWait<string>({
      timeoutMs: 100,
      onTimeout: () => {
        isQueued = false
        return new Error('too late')
      }
    })
    const outcome = wait.result.catch((thrown: unknown) => (thrown as Error).message)
    await clock.tickAsync(99)
    expect([wait.isSettled, isQueued]).toEqual([false, true])
    await clock.tickAsync(1)
    wait.resolve('late')
    expect([await outcome, wait.isSettled, isQueued]).toEqual(['too late', true, false])
  })
})
