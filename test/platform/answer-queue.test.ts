/** Guards against answers that wait for a slow caller without being counted, or whose memory is not returned. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createAnswerQueue } from '../../platform/answer-queue.ts'
import { memoryOf } from '../../platform/row-memory.ts'
import { createMemoryBudget } from '../../src/core/memory/memory-budget.ts'
import type { CallerAnswer } from '../../src/entry/ports/index.ts'

const ROW = 'x'.repeat(100_000)

function setUp () {
  const budget = createMemoryBudget(2_000_000)
  const queue = createAnswerQueue(budget)
  const written: string[] = []
  const add = (id: string, rowCount: number): CallerAnswer => {
    const answer: CallerAnswer = {
      rows: Array.from({ length: rowCount }, () => ROW),
      signature: id,
      state: 'idle',
      withoutRows: (reason = '') => ({ rows: [], failure: { kind: 'aborted', message: reason }, state: 'idle' }),
      onWritten: () => written.push(id)
    }
    queue.add(answer, rowCount * ROW.length, () => {})
    return answer
  }
  return { queue, add, written, held: () => budget.heldBytes('answers') }
}

describe('the queue of answers of a connection', () => {
  it('counts what is not written, and keeps no row that is', () => {
    const { queue, add, held } = setUp()
    const answer = add('a', 3)
    const before = held()
    expect(before > 250_000).toEqual(true)
    expect(queue.takePiece()).toEqual([ROW])
    expect(held()).toEqual(before - memoryOf(1, ROW.length))
    expect(answer.rows).toEqual(['', ROW, ROW])
    queue.removeFirst()
    expect([held(), queue.first]).toEqual([0, undefined])
  })

  it('replaces an answer that does not fit, and keeps the order', () => {
    const { queue, add, written } = setUp()
    add('a', 6)
    add('b', 6)
    add('c', 1)
    expect(queue.first?.answer.signature).toEqual('a')
    queue.removeFirst()
    const { failure, onWritten } = queue.first!.answer
    expect([queue.first!.rows, failure?.kind]).toEqual([[], 'aborted'])
    expect(/^the answer takes 600000 bytes, .* of \d+ bytes$/.test(failure!.message)).toEqual(true)
    onWritten!()
    queue.removeFirst()
    expect([written, queue.first?.answer.signature]).toEqual([['b'], 'c'])
  })

  it('returns everything when the connection closes', () => {
    const { queue, add, held } = setUp()
    add('a', 6)
    queue.close()
    expect([held(), queue.first]).toEqual([0, undefined])
  })
})
