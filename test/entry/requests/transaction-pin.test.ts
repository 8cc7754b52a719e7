import { deepEqual, equal, throws } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { pause } from '../../../src/core/time/deadline.ts'
import { createTransactionPin } from '../../../src/entry/requests/transaction-pin.ts'
import { createRecordingExecutor } from '../../fixtures/recording-executor.ts'

describe('what a transaction is pinned to', () => {
  it('is rolled back once when the transaction fails, and keeps the first reason', () => {
    const { executor, calls } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.fail('first')
    pin.fail('second')
    deepEqual(calls, ['rollBack'])
    equal(pin.failedBecause, 'first')
    throws(() => pin.ensureUsable(), /first/)
  })

  it('is not rolled back while a step runs', async () => {
    const { executor, calls } = createRecordingExecutor()
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
    const { executor, calls, state } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.ensureUsable()
    state.brokenBecause = 'its connection was lost'
    throws(() => pin.ensureUsable(), /its connection was lost/)
    deepEqual(calls, ['rollBack'])
  })

  it('is discarded, not rolled back, when its state is in doubt', () => {
    const { executor, calls } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.discard('no answer')
    deepEqual(calls, ['discard'])
    equal(pin.executor, undefined)
    equal(pin.failedBecause, 'no answer')
  })

  it('is rolled back when the caller is idle for too long, unless the next step comes first', async () => {
    const { executor, calls } = createRecordingExecutor()
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
