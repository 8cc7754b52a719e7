/** Guards against sessions whose names take more memory than the host has, and against refusals that say too little. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createMemoryBudget } from '../../../src/core/memory/memory-budget.ts'
import { createSharedTexts } from '../../../src/core/memory/shared-texts.ts'
import { createSessionNames } from '../../../src/entry/requests/session-names.ts'

const HEAP_BYTES = 400_000

function setUp () {
  const budget = createMemoryBudget(HEAP_BYTES)
  const memory = { budget, texts: createSharedTexts(budget) }
  return { budget, open: () => createSessionNames(memory) }
}

const read = (shape: string) => ({ access: 'read', shape }) as const
const textOf = (label: string): string => label.padEnd(20_000, 'z')
const shapeOf = (names: ReturnType<typeof createSessionNames>, name: string): string | undefined => {
  const statement = names.toExecutable('r', { type: 'execute', name, parameters: '' })
  return statement.type === 'execute' ? statement.prepared.shape : undefined
}

describe('the names of sessions', () => {
  it('take the memory of a text once for all sessions', () => {
    const { budget, open } = setUp()
    const sessions = Array.from({ length: 20 }, open)
    sessions.forEach((names) => names.prepare('s', read(textOf('same'))))
    expect(budget.heldBytes('names') < 40_000).toEqual(true)
    expect(sessions.map((names) => shapeOf(names, 's'))).toEqual(sessions.map(() => textOf('same')))
  })

  it('of hundreds of sessions that prepare the same statements fit', () => {
    const budget = createMemoryBudget(100_000_000)
    const memory = { budget, texts: createSharedTexts(budget) }
    for (let session = 0; session < 1000; session++) {
      const names = createSessionNames(memory)
      Array.from({ length: 200 }, (_, index) => names.prepare(`s${index}`, read(textOf(`${index}`))))
    }
    expect(memory.texts.size).toEqual(200)
  })

  it('are refused with the thing, its size and the bound, and stay as they were', () => {
    const { open } = setUp()
    const names = open()
    for (const name of ['a', 'b', 'c', 'd']) {
      names.prepare(name, read(textOf(name)))
    }
    expect(() => names.prepare('e', read(textOf('e'))))
      .toThrow("the statement 'e' takes 20073 bytes, which this host has no room for: all names take 81600 of 100000 bytes")
    expect(() => names.setValue('zone', textOf('e'))).toThrow("the value of 'zone' takes 20164 bytes")
    expect(() => names.prepare('a', read('y'.repeat(50_000)))).toThrow("the statement 'a' takes 50073 bytes")
    expect([names.isPrepared('e'), names.values.size, shapeOf(names, 'a')]).toEqual([false, 0, textOf('a')])
  })

  it('have room again after a replacement, a deallocation and an end', () => {
    const { budget, open } = setUp()
    const names = open()
    const other = open()
    for (let round = 0; round < 10; round++) {
      ['a', 'b', 'c', 'd'].forEach((name) => names.prepare(name, read(textOf(`${round} ${name}`))))
    }
    names.deallocate('a')
    other.setValue('zone', textOf('value'))
    expect(() => other.prepare('f', read(textOf('f')))).toThrow('has no room')
    names.close()
    other.prepare('f', read(textOf('f')))
    other.close()
    expect(budget.heldBytes('names')).toEqual(0)
  })

  it('are limited in number', () => {
    const names = createSessionNames({ budget: createMemoryBudget(), texts: createSharedTexts(createMemoryBudget()) })
    Array.from({ length: 256 }, (_, index) => names.prepare(`s${index}`, read('q')))
    expect(() => names.prepare('more', read('q'))).toThrow('a session may have 256 names')
    names.prepare('s1', read('other'))
    expect(shapeOf(names, 's1')).toEqual('other')
  })

  it('are found by long names, of which refusals show the beginning', () => {
    const { open } = setUp()
    const names = open()
    const long = 'n'.repeat(1000)
    names.prepare(long, read('q'))
    expect([names.isPrepared(long), names.isPrepared(`${long}n`)]).toEqual([true, false])
    names.deallocate(long)
    expect(names.isPrepared(long)).toEqual(false)
    expect(() => names.prepare(long, read('z'.repeat(HEAP_BYTES)))).toThrow(`'${'n'.repeat(64)}...'`)
  })

  it('give a new map of values after each change, so that those of a request do not change', () => {
    const names = setUp().open()
    names.setValue('zone', 'one')
    const before = names.values
    names.setValue('zone', 'two')
    expect([...before.values()].map(({ name, text }) => [name, text])).toEqual([['zone', 'one']])
    expect([...names.values.values()].map(({ name, text }) => [name, text])).toEqual([['zone', 'two']])
  })
})
