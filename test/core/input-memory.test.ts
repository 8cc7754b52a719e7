/** Guards against requests of connections that are held without being counted, or whose count is not returned. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createInputMemory } from '../../src/core/memory/input-memory.ts'
import { createMemoryBudget } from '../../src/core/memory/memory-budget.ts'

function setUp () {
  const budget = createMemoryBudget(1_000_000)
  return { budget, held: () => budget.heldBytes('requests'), memory: createInputMemory(budget) }
}

describe('the memory of the requests of a connection', () => {
  it('counts nothing for usual requests', () => {
    const { held, memory } = setUp()
    expect([memory.add(600), memory.add(600), held()]).toEqual([true, true, 0])
  })

  it('counts large requests until their answers, also while they are read', () => {
    const { held, memory } = setUp()
    memory.setIncomplete(50_000)
    expect(held() > 40_000).toEqual(true)
    memory.setIncomplete(100_000)
    memory.add(100_000)
    expect(held() > 90_000 && held() < 110_000).toEqual(true)
    memory.remove(100_000)
    expect(held()).toEqual(0)
  })

  it('refuses what does not fit, and counts what it was before', () => {
    const { held, memory } = setUp()
    memory.add(200_000)
    const before = held()
    expect([memory.add(200_000), memory.setIncomplete(200_000)]).toEqual([false, false])
    expect(held() >= before && held() < before + 1000).toEqual(true)
    memory.remove(200_000)
    memory.remove(0)
    expect([held(), memory.add(200_000)]).toEqual([0, true])
  })

  it('is full from a size on', () => {
    const memory = createInputMemory(createMemoryBudget(4_000_000))
    memory.add(200_000)
    expect(memory.isFull).toEqual(false)
    memory.add(70_000)
    expect(memory.isFull).toEqual(true)
  })

  it('returns everything when the connection closes', () => {
    const { held, memory } = setUp()
    memory.add(100_000)
    memory.setIncomplete(100_000)
    memory.close()
    memory.remove(100_000)
    expect(held()).toEqual(0)
  })
})
