import { deepEqual, equal, throws } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { pause } from '../../../src/core/time/deadline.ts'
import { createTransactionPin } from '../../../src/entry/requests/transaction-pin.ts'
import { createRecordingExecutor } from '../../fixtures/recording-executor.ts'

describe('the pin of a transaction', () => {
  it('rolls back once when the transaction fails, and keeps the first reason', () => {
    const { executor, calls } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.fail('first')
    pin.fail('second')
    deepEqual(calls, ['rollBack'])
    equal(pin.failedBecause, 'first')
    throws(() => pin.ensureUsable(), /first/)
  })

  it('does not roll back on a failure while a step is running', async () => {
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

  it('fails when the executor is broken', () => {
    const { executor, calls, state } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.ensureUsable()
    state.brokenBecause = 'its connection was lost'
    throws(() => pin.ensureUsable(), /its connection was lost/)
    deepEqual(calls, ['rollBack'])
  })

  it('discards the executor without a rollback when the transaction state is unknown', () => {
    const { executor, calls } = createRecordingExecutor()
    const pin = createTransactionPin(1000)
    pin.pin(executor)
    pin.discard('no answer')
    deepEqual(calls, ['discard'])
    equal(pin.executor, undefined)
    equal(pin.failedBecause, 'no answer')
  })

  it('rolls back when the caller is idle for too long, unless the idle timer is stopped', async () => {
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
