import { describe, it } from 'node:test'
import { expect } from 'earl'
import { CHECKERS, checkHistory } from '../../../src/emulation/load/checks/index.ts'
import type { History, HistoryEvent, Operation, Outcome } from '../../../src/emulation/load/history.ts'

const NOT_RUN: Outcome = { type: 'refused', verdict: 'not-run', message: '' }

/** Builds the history of a single session. */
function historyOf (operations: Array<[Operation, Outcome?]>, requests: string[], total = 0): History {
  const events = operations.map(([operation, outcome = { type: 'done' }], sequence): HistoryEvent => ({
    session: 's', sequence, proxy: 0, startedAt: sequence, endedAt: sequence + 1, operation, outcome
  }))
  return { events, final: { records: requests.map((request) => ({ session: 's', request })), total }, startTotal: 0 }
}

const purchase = (request: string): Operation => ({ type: 'purchase', request })
const read = (...seen: string[]): Operation => ({ type: 'read-own', handle: 'token', seen })

/** For each guarantee, a history that violates it. */
const BROKEN: Record<string, History> = {
  'acknowledged-survives': historyOf([[purchase('a')]], []),
  'at-most-once': historyOf([[purchase('a')]], ['a', 'a']),
  'refused-never-ran': historyOf([[purchase('a'), NOT_RUN]], ['a']),
  'reads-own-writes': historyOf([[purchase('a')], [read()]], ['a']),
  'never-back-in-time': historyOf([[read('a')], [read()]], ['a']),
  'transactions-whole': historyOf([[{ type: 'transfer', request: 't' }, NOT_RUN]], ['t-out']),
  'transactions-isolated': historyOf([[{ type: 'total', total: 1 }]], []),
  'whole-answers': historyOf([[{ type: 'echo', mark: 'm', wanted: 3, received: 2, foreign: 0 }]], [])
}

describe('checkHistory', () => {
  for (const check of Object.keys(CHECKERS)) {
    it(`detects a violation of ${check}`, () => {
      const found = checkHistory(BROKEN[check]!).map((violation) => violation.check)
      expect(found.includes(check)).toEqual(true)
    })
  }

  it('reports no violations for a history that meets every guarantee', () => {
    const history = historyOf([
      [purchase('a')], [read('a')], [purchase('b'), NOT_RUN], [{ type: 'transfer', request: 't' }],
      [{ type: 'total', total: 0 }], [read('a', 't-out', 't-in')]
    ], ['a', 't-out', 't-in'])
    expect(checkHistory(history)).toEqual([])
  })

  it('uses the last outcome of a request that was retried under its key', () => {
    expect(checkHistory(historyOf([[purchase('a'), NOT_RUN], [purchase('a')]], ['a']))).toEqual([])
  })
})
