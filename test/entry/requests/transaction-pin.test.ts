import { deepEqual, equal, throws } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { pause } from '../../../src/core/time/deadline.ts'
import type { StatementExecutor } from '../../../src/entry/requests/statement-executor.ts'
import { createTransactionPin } from '../../../src/entry/requests/transaction-pin.ts'

/** An executor that records how it is ended. */
function recordingExecutor () {
  const calls: string[] = []
  const state = { brokenBecause: undefined as string | undefined }
  const executor = {
    get brokenBecause () { return state.brokenBecause },
    release: () => { calls.push('release') },
    discard: () => { calls.push('discard') },
    rollBack: async () => { calls.push('rollBack') }
  } as unknown as StatementExecutor
  return { executor, calls, state }
}

describe('what a transaction is pinned to', () => {
  it('is rolled back once when the transaction fails, and keeps the first reason', () => {
    const { executor, calls } = recordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.fail('first')
    pin.fail('second')
    deepEqual(calls, ['rollBack'])
    equal(pin.failedBecause, 'first')
    throws(() => pin.ensureUsable(), /first/)
  })

  it('is not rolled back while a step runs', async () => {
    const { executor, calls } = recordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    await pin.whileRunning(async () => {
      pin.fail('meanwhile')
      deepEqual(calls, [])
    })
    pin.rollBack()
    deepEqual(calls, ['rollBack'])
  })

  it('fails when the executor can no longer carry the transaction', () => {
    const { executor, calls, state } = recordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.ensureUsable()
    state.brokenBecause = 'its connection was lost'
    throws(() => pin.ensureUsable(), /its connection was lost/)
    deepEqual(calls, ['rollBack'])
  })

  it('is discarded, not rolled back, when its state is in doubt', () => {
    const { executor, calls } = recordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.discard('no answer')
    deepEqual(calls, ['discard'])
    equal(pin.executor, undefined)
    equal(pin.failedBecause, 'no answer')
  })

  it('is rolled back when the caller is idle for too long, unless the next step comes first', async () => {
    const { executor, calls } = recordingExecutor()
    const pin = createTransactionPin(20)
    pin.pin(executor)
    pin.startIdleTimer()
    pin.stopIdleTimer()
    await pause(40)
    deepEqual(calls, [])
    pin.startIdleTimer()
    await pause(40)
    deepEqual(calls, ['rollBack'])
    equal(pin.failedBecause, 'it rested for more than 20 ms')
  })
})
