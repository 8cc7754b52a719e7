/** Guards against commands and proofs of position whose lease was checked long before the command was sent. */
import { deepEqual, equal, rejects } from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock, type FakeMethod } from '@sinonjs/fake-timers'
import type { StatementAnswer, TransactionState } from '../../../src/entry/ports/index.ts'
import { PRIMARY_LEASE_MS } from '../../../src/entry/registry/lease-times.ts'
import type { TransactionStep } from '../../../src/entry/requests/statement-executor.ts'
import { createExecutorAtPrimary, createScope, createStatement, LEASED } from '../../fixtures/executor-at-primary.ts'

/** What the paused clock replaces; the reports of the test runner need the rest. */
const TIMERS: FakeMethod[] = ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']
const KNOWN_POSITION = { term: 1, position: 1 }
const VALUES: Array<[string, string]> = [['name', 'value']]
const READ: TransactionStep = { type: 'statement', statement: createStatement('read') }
const WRITE: TransactionStep = { type: 'statement', statement: createStatement('write') }

function done (state: TransactionState = 'idle'): StatementAnswer {
  return { rows: [], signature: 's', state, position: { term: 1, position: 2 } }
}

describe('a command of an executor at the primary', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: TIMERS }) })
  afterEach(() => { clock.uninstall() })
  const pass = async (): Promise<void> => { await clock.tickAsync(1) }
  const endLease = async (): Promise<void> => { await clock.tickAsync(PRIMARY_LEASE_MS + 1) }

  /** Creates an executor on which a transaction is open. */
  const openTransaction = async (readOnly: boolean, after?: typeof KNOWN_POSITION) => {
    const set = createExecutorAtPrimary(after)
    const beginning = set.executor.begin(createScope(), readOnly, READ)
    await pass()
    set.answer(done('open'))
    await pass()
    set.answer(done('open'))
    await beginning
    return set
  }

  it('proves a position if the lease held when it was sent, even if it has ended meanwhile', async () => {
    const { executor, answer } = createExecutorAtPrimary(KNOWN_POSITION)
    const reading = executor.runSingle(createScope(), createStatement('read'), false)
    await endLease()
    answer(done())
    equal((await reading).epoch, LEASED.epoch)
  })

  it('proves no position if the lease ended while session values were set', async () => {
    const { executor, answer, sent } = createExecutorAtPrimary(KNOWN_POSITION)
    const reading = executor.runSingle(createScope(VALUES), createStatement('read'), false)
    await endLease()
    answer(done())
    await pass()
    answer(done())
    equal((await reading).epoch, undefined)
    deepEqual(sent.map(({ type }) => type), ['set', 'data'])
  })

  it('runs in a read-only transaction after the lease has ended, and proves no position', async () => {
    const { executor, answer } = await openTransaction(true, KNOWN_POSITION)
    await endLease()
    const reading = executor.step(createScope(), READ)
    await pass()
    answer(done('open'))
    equal((await reading).epoch, undefined)
  })

  it('is not sent if the lease ended while session values were set', async () => {
    const { executor, answer, sent } = createExecutorAtPrimary()
    const writing = executor.runSingle(createScope(VALUES), createStatement('write'), false)
    await endLease()
    answer(done())
    await rejects(writing, { verdict: 'not-run' })
    deepEqual(sent.map(({ type }) => type), ['set'])
  })

  it('is not sent in an open transaction if the lease ended while session values were set', async () => {
    const { executor, answer, sent } = await openTransaction(false)
    const writing = executor.step(createScope(VALUES), WRITE)
    await pass()
    await endLease()
    answer(done('open'))
    await rejects(writing, { verdict: 'not-run', entry: 'TransactionLost' })
    deepEqual(sent.map(({ type }) => type), ['begin', 'data', 'set'])
  })

  // Guards against a commit that runs with the session values from before its transaction's last change of them.
  it('commits with the session values that were set after the last statement', async () => {
    const { executor, answer, sent } = await openTransaction(false)
    const committing = executor.step(createScope(VALUES), { type: 'commit', requestId: 'r', text: 'COMMIT' })
    await pass()
    answer(done('open'))
    await pass()
    answer(done())
    equal((await committing).answer.failure, undefined)
    deepEqual(sent.map(({ type }) => type), ['begin', 'data', 'set', 'commit'])
  })

  it('is not committed if a session value could not be set before', async () => {
    const { executor, answer, sent } = await openTransaction(false)
    const committing = executor.step(createScope(VALUES), { type: 'commit', requestId: 'r', text: 'COMMIT' })
    await pass()
    answer({ rows: [], failure: { kind: 'failed', message: '' }, state: 'failed' })
    await rejects(committing, { verdict: 'not-run' })
    deepEqual(sent.map(({ type }) => type), ['begin', 'data', 'set'])
  })

  it('does not begin a transaction or ask for the end of the log after the lease has ended', async () => {
    for (const run of ['begin', 'queryLogEnd'] as const) {
      const { executor, sent } = createExecutorAtPrimary()
      await endLease()
      await rejects(
        run === 'begin' ? executor.begin(createScope(), false, WRITE) : executor.queryLogEnd(createScope()),
        { verdict: 'not-run' })
      deepEqual(sent, [])
    }
  })

  it('is not sent after a begin during which the lease has ended', async () => {
    const { executor, answer, sent } = createExecutorAtPrimary()
    const beginning = executor.begin(createScope(), false, WRITE)
    await endLease()
    answer(done('open'))
    const { firstAnswer, firstError } = await beginning
    deepEqual([firstAnswer, firstError?.verdict], [undefined, 'not-run'])
    deepEqual(sent.map(({ type }) => type), ['begin'])
  })

  it('never passes as a read at a known position if it writes', async () => {
    const { executor, sent } = createExecutorAtPrimary(KNOWN_POSITION)
    await rejects(executor.runSingle(createScope(), createStatement('write'), false), { verdict: 'not-run' })
    await rejects(createExecutorAtPrimary(KNOWN_POSITION).executor.begin(createScope(), false, WRITE), { verdict: 'not-run' })
    deepEqual(sent, [])
  })
})
