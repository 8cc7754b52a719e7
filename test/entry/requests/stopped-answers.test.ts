import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { toCallerAnswer } from '../../../src/entry/requests/stopped-answers.ts'
import type { RequestScope } from '../../../src/entry/requests/types.ts'

const ANSWER: StatementAnswer = { rows: ['r'], signature: 's.1', state: 'idle', position: { term: 3, position: 9 } }

/** Returns what takes the place of an answer, and what became of the transaction. */
function endEarly (answer: StatementAnswer, hasLastingEffect: boolean) {
  const events: string[] = []
  const transaction = {
    isOpen: answer.state === 'open',
    abort: () => { events.push('aborted') },
    failureReported: () => { events.push('reported') }
  }
  const { rows, failure, signature, state, position } =
    toCallerAnswer(answer, transaction, { hasLastingEffect } as RequestScope, (kind) => events.push(`logged ${kind}`))
      .withoutRows!()
  return { rows, kind: failure?.kind, signature, state, position, events }
}

describe('an answer whose rows can not all be written', () => {
  it('promises that nothing is kept of a read', () => {
    expect(endEarly(ANSWER, false)).toEqual({
      rows: [], kind: 'aborted', signature: undefined, state: 'idle', position: ANSWER.position, events: ['logged aborted']
    })
  })

  it('promises nothing about a write', () => {
    expect(endEarly(ANSWER, true).kind).toEqual('in-doubt')
  })

  it('rolls back the transaction that it belongs to', () => {
    const { kind, state, events } = endEarly({ ...ANSWER, state: 'open' }, false)
    expect([kind, state, events.includes('aborted'), events.includes('reported')]).toEqual(['aborted', 'failed', true, true])
  })

  it('keeps its failure', () => {
    const failed: StatementAnswer = { ...ANSWER, signature: undefined, failure: { kind: 'failed', message: 'm' } }
    expect(endEarly(failed, true).kind).toEqual('failed')
  })
})
