import { deepEqual, equal, rejects } from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Logger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import type { StatementAnswer, TransactionState } from '../../../src/entry/ports/index.ts'
import { createForwardedTransactions } from '../../../src/entry/requests/forwarded-transactions.ts'
import type { RequestScope } from '../../../src/entry/requests/types.ts'
import type { PeerLink } from '../../../src/peers/types.ts'
import { createRecordingExecutor } from '../../fixtures/recording-executor.ts'

const SCOPE = { requestId: 'r' } as unknown as RequestScope

function answer (state: TransactionState): StatementAnswer {
  return { rows: [], state }
}

function setUp (idleMs = 1000) {
  const { executor, calls, state } = createRecordingExecutor()
  const reasons: unknown[] = []
  const closeListeners: Array<() => void> = []
  const logger = {
    log: (_level: string, _event: string, { reason }: { reason: string }) => { reasons.push(reason) }
  } as unknown as Logger
  const link = { onClose: (listener: () => void) => { closeListeners.push(listener) } } as unknown as PeerLink
  const transactions = createForwardedTransactions({ logger, idleMs: () => idleMs, firstNumber: 1 })
  const add = async (): Promise<number | undefined> => await transactions.add(executor, SCOPE, answer('open'), link)
  return { transactions, executor, link, add, calls, reasons, closeListeners, state }
}

describe('forwarded transactions', () => {
  it('stay open until a step ends them, and release their executor after a commit', async () => {
    const { transactions, add, calls } = setUp()
    const number = await add()
    equal(number, 1)
    const claimed = await transactions.claim(1)
    equal(await transactions.settle(1, claimed, answer('idle')), undefined)
    deepEqual(calls, ['release'])
    equal(transactions.size, 0)
  })

  it('are rolled back and not registered if the first step has ended them', async () => {
    const { transactions, executor, link, calls, closeListeners } = setUp()
    equal(await transactions.add(executor, SCOPE, answer('failed'), link), undefined)
    deepEqual(calls, ['rollBack'])
    equal(closeListeners.length, 0)
  })

  it('reject a second concurrent step, and are not rolled back while a step runs', async () => {
    const { transactions, add, calls } = setUp()
    await add()
    await transactions.claim(1)
    await rejects(transactions.claim(1), /its home has ended it/)
    await transactions.end(1, 'it was rolled back')
    deepEqual(calls, [])
    equal(transactions.size, 1)
  })

  it('are rolled back when the link to their host closes, with one listener per link', async () => {
    const { transactions, add, calls, reasons, closeListeners } = setUp()
    await add()
    await add()
    equal(closeListeners.length, 1)
    closeListeners[0]!()
    await pause(1)
    deepEqual(calls, ['rollBack', 'rollBack'])
    equal(reasons[0], 'the link to its host was lost')
    equal(transactions.size, 0)
  })

  it('are rolled back when they are idle for too long', async () => {
    const { transactions, add, reasons } = setUp(20)
    await add()
    await pause(40)
    equal(transactions.size, 0)
    deepEqual(reasons, ['it was idle for too long'])
  })

  it('are rolled back on the next step if their executor is broken', async () => {
    const { transactions, add, calls, state } = setUp()
    await add()
    state.brokenBecause = 'the primary has changed'
    await rejects(transactions.claim(1), /the primary has changed/)
    deepEqual(calls, ['rollBack'])
  })

  it('may finish during a shutdown, and are rolled back when the drain time is over', async () => {
    const { transactions, add, reasons } = setUp()
    await add()
    const startedAt = performance.now()
    await transactions.drain(60)
    equal(performance.now() - startedAt >= 60, true)
    deepEqual(reasons, ['this host is stopping'])
    equal(transactions.size, 0)
  })

  it('are rolled back after the step that runs when the drain time is over', async () => {
    const { transactions, add, calls } = setUp()
    await add()
    const claimed = await transactions.claim(1)
    await transactions.drain(10)
    deepEqual([calls, transactions.size], [[], 1])
    equal(await transactions.settle(1, claimed, answer('open')), undefined)
    deepEqual([calls, transactions.size], [['rollBack'], 0])
  })
})
