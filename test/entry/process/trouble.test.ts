import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { checkAll, checks, type Evidence, type Operation } from '../../fixtures/fleet/history.ts'
import { FAULT_NAMES, playTrouble } from '../../fixtures/fleet/trouble.ts'
import { useFakeFleet } from '../../fixtures/fleet/world.ts'

/** Seeds of the simulated fault sequences. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
/** Seeds that guard against fixed faults. */
const FAILED_SEEDS = [
  // Guards against taking a restarted primary of an earlier term for the successor.
  58, 78, 102, 103, 106, 109, 124, 190
]

describe('entry processes under faults', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  for (const fault of FAULT_NAMES) {
    it(`violate no guarantee under repeated ${fault}`, async () => {
      const evidence = await playTrouble(clock, 100, { only: [fault] })
      expect(checkAll(evidence)).toEqual([])
      expect(evidence.operations.filter(({ answer }) => answer.failure === undefined).length > 100).toEqual(true)
    })
  }

  for (const seed of [...SEEDS, ...FAILED_SEEDS]) {
    it(`violate no guarantee under mixed faults, seed ${seed}`, async () => {
      const evidence = await playTrouble(clock, seed)
      expect({ faults: evidence.faults, found: checkAll(evidence) }).toEqual({ faults: evidence.faults, found: [] })
    })
  }
})

describe('five entry processes under faults', () => {
  let clock: Clock
  beforeEach(() => {
    useFakeFleet()
    clock = fakeTimers.install()
  })
  afterEach(() => { clock.uninstall() })

  for (const seed of SEEDS) {
    it(`violate no guarantee under delayed store writes, seed ${seed}`, async () => {
      const only = ['storeWritesLate', 'crashPrimary', 'primaryLeaves', 'hostCutOff']
      const evidence = await playTrouble(clock, seed, { many: true, only })
      expect({ faults: evidence.faults, found: checkAll(evidence) }).toEqual({ faults: evidence.faults, found: [] })
    })
    it(`violate no guarantee under connections that go silent, seed ${seed}`, async () => {
      const only = ['connectionsSilent', 'connectionsSilent', 'crashPrimary', 'primaryLeaves', 'killHost', 'storeDown']
      const evidence = await playTrouble(clock, seed, { many: true, only })
      expect({ faults: evidence.faults, found: checkAll(evidence) }).toEqual({ faults: evidence.faults, found: [] })
    })
    it(`violate no guarantee under cuts that refuse connections, seed ${seed}`, async () => {
      const only = ['refusingCut', 'crashPrimary', 'killHost', 'hostCutOff']
      const evidence = await playTrouble(clock, seed, { many: true, only })
      expect({ faults: evidence.faults, found: checkAll(evidence) }).toEqual({ faults: evidence.faults, found: [] })
    })
    it(`violate no guarantee under mixed faults, seed ${seed}`, async () => {
      const evidence = await playTrouble(clock, seed, { many: true })
      expect({ faults: evidence.faults, found: checkAll(evidence) }).toEqual({ faults: evidence.faults, found: [] })
    })
  }
})

describe('checks of a history', () => {
  const base: Omit<Operation, 'id' | 'type' | 'answer'> = {
    session: 1, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt: 0, endedAt: 1
  }
  const done: StatementAnswer = { rows: [], signature: 's', state: 'idle' }
  const write: Operation = { ...base, id: 'w', type: 'write', answer: done }
  const run = { connection: 1, host: 'h1', organisation: '', text: '', values: {}, inTransaction: false }
  const valid: Evidence = {
    operations: [write, { ...base, id: 'r', type: 'read', startedAt: 5, endedAt: 6, answer: { ...done, rows: ['w'] } }],
    runs: [{ ...run, upstream: 'a', requestId: 'w', at: 1 }],
    promotions: [],
    rolledBack: new Set(),
    finalLogs: new Map([['g', ['w']]])
  }
  const promotion = { group: 'g', upstream: 'b', at: 0, holder: 'h1', fence: 2 }
  const invalid: Record<keyof typeof checks, Evidence> = {
    checkStaleReads: { ...valid, operations: [write, { ...valid.operations[1]!, answer: { ...done, rows: ['x'] } }] },
    checkKeptOnce: { ...valid, finalLogs: new Map([['g', ['w', 'w']]]) },
    checkPromises: {
      ...valid,
      operations: [{ ...write, answer: { rows: [], state: 'idle', failure: { kind: 'busy', message: '' } } }]
    },
    checkOnePrimary: { ...valid, promotions: [promotion] },
    checkFences: { ...valid, promotions: [{ ...promotion, upstream: 'a' }, { ...promotion, upstream: 'a', fence: 1 }] }
  }

  it('report nothing for a valid history', () => {
    expect(checkAll(valid)).toEqual([])
  })
  for (const name of Object.keys(checks) as Array<keyof typeof checks>) {
    it(`report a violation: ${name}`, () => {
      expect(checks[name](invalid[name]).length).toEqual(1)
    })
  }
})
