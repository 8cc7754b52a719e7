/** Guards against answers to writes that are taken as a success after the lease on the primary has ended. */
import { deepEqual, equal, rejects } from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock, type FakeMethod } from '@sinonjs/fake-timers'
import { usesUpTo } from '../../../src/entry/leadership/primary-uses.ts'
import type { StatementAnswer, TransactionState } from '../../../src/entry/ports/index.ts'
import { PRIMARY_LEASE_MS } from '../../../src/entry/registry/lease-times.ts'
import { createExecutorAtPrimary, createScope, createStatement, LEASED } from '../../fixtures/executor-at-primary.ts'

/** What the paused clock replaces; the reports of the test runner need the rest. */
const TIMERS: FakeMethod[] = ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']
const IN_DOUBT = { verdict: 'may-have-run', entry: 'ConnectionLost' }
/** Age of the confirmation at which every use has been aborted, in milliseconds. */
const TOO_OLD_MS = PRIMARY_LEASE_MS + 300

function done (state: TransactionState = 'idle'): StatementAnswer {
  return { rows: [], signature: 's', state, position: { term: 1, position: 1 } }
}

describe('an answer of the primary that comes after the lease has ended', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: TIMERS }) })
  afterEach(() => { clock.uninstall() })

  const startWrite = async () => {
    const set = createExecutorAtPrimary()
    const writing = set.executor.runSingle(createScope(), createStatement('write'), false)
    writing.catch(() => {})
    await clock.tickAsync(1)
    equal(set.sent.length, 1)
    return { ...set, writing }
  }
  /** Opens a transaction with one statement and sends its commit. */
  const startCommit = async (access: 'read' | 'write') => {
    const set = createExecutorAtPrimary()
    const beginning = set.executor.begin(createScope(), false, { type: 'statement', statement: createStatement(access) })
    for (let command = 0; command < 2; command++) {
      await clock.tickAsync(1)
      set.answer(done('open'))
    }
    await beginning
    const committing = set.executor.step(createScope(), { type: 'commit', requestId: 'r', text: 'COMMIT' })
    committing.catch(() => {})
    await clock.tickAsync(1)
    deepEqual(set.sent.map(({ type }) => type), ['begin', 'data', 'commit'])
    return { ...set, committing }
  }
  /** Lets time pass without any timer of the host, as for a frozen process. */
  const freeze = (ms: number): void => { clock.jump(ms) }

  it('leaves a write in doubt, even if no use has been aborted yet', async () => {
    const { writing, answer } = await startWrite()
    freeze(TOO_OLD_MS)
    answer(done())
    await rejects(writing, IN_DOUBT)
  })

  it('leaves the commit of a transaction that wrote in doubt', async () => {
    const { committing, answer } = await startCommit('write')
    freeze(TOO_OLD_MS)
    answer(done())
    await rejects(committing, IN_DOUBT)
  })

  it('leaves a write in doubt once the uses of a closed epoch were aborted', async () => {
    const { writing, answer, primaryLeases, primaryUses } = await startWrite()
    primaryLeases.closeEpoch(LEASED.group, LEASED.epoch)
    primaryUses.abort(usesUpTo(LEASED.group, LEASED.epoch), 'the epoch was closed')
    answer(done())
    await rejects(writing, IN_DOUBT)
  })

  it('counts for a write while the closing waits for it', async () => {
    const { writing, answer, primaryLeases } = await startWrite()
    primaryLeases.closeEpoch(LEASED.group, LEASED.epoch)
    answer(done())
    deepEqual((await writing).answer, done())
  })

  it('counts for a write if the same epoch was confirmed again meanwhile', async () => {
    const { writing, answer, confirm } = await startWrite()
    freeze(TOO_OLD_MS)
    confirm()
    answer(done())
    deepEqual((await writing).answer, done())
  })

  it('counts for a read and for the commit of a transaction that only read', async () => {
    const { executor, answer } = createExecutorAtPrimary()
    const reading = executor.runSingle(createScope(), createStatement('read'), false)
    await clock.tickAsync(1)
    freeze(TOO_OLD_MS)
    answer(done())
    deepEqual((await reading).answer, done())
    const { committing, answer: answerCommit } = await startCommit('read')
    freeze(TOO_OLD_MS)
    answerCommit(done())
    deepEqual((await committing).answer, done())
  })

  it('is passed on if the upstream refused the write', async () => {
    const { writing, answer } = await startWrite()
    const refusal: StatementAnswer = { rows: [], failure: { kind: 'read-only', message: '' }, state: 'idle' }
    freeze(TOO_OLD_MS)
    answer(refusal)
    deepEqual((await writing).answer, refusal)
  })
})
