/** Guards against data that is kept beyond the limit of the heap, and against room that is lost when it is dropped. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createMemoryBudget } from '../../src/core/memory/memory-budget.ts'

const HEAP_BYTES = 1000

describe('the memory budget', () => {
  it('gives what fits and refuses the rest', () => {
    const budget = createMemoryBudget(HEAP_BYTES)
    const maximum = budget.maximumBytes('names')
    const hold = budget.open('names')
    expect(hold.take(maximum + 1)).toEqual(false)
    expect(hold.take(maximum)).toEqual(true)
    expect(budget.open('names').take(1)).toEqual(false)
    expect(budget.heldBytes('names')).toEqual(maximum)
  })

  it('has room again after bytes are returned and holds are closed, also twice', () => {
    const budget = createMemoryBudget(HEAP_BYTES)
    const hold = budget.open('names')
    hold.take(100)
    hold.give(40)
    expect(budget.heldBytes('names')).toEqual(60)
    hold.close()
    hold.close()
    expect(budget.heldBytes('names')).toEqual(0)
  })

  it('gives nothing to a hold that is closed', () => {
    const hold = createMemoryBudget(HEAP_BYTES).open('names')
    hold.close()
    expect(hold.take(1)).toEqual(false)
  })
})
