/** Guards against a copy of a text for each session that keeps it. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { fingerprintOf } from '../../src/core/memory/fingerprint.ts'
import { createMemoryBudget } from '../../src/core/memory/memory-budget.ts'
import { createSharedTexts } from '../../src/core/memory/shared-texts.ts'

const LONG = 'q'.repeat(1000)

function setUp () {
  const budget = createMemoryBudget(12_000)
  return { budget, texts: createSharedTexts(budget) }
}

describe('shared texts', () => {
  it('counts a text once, until its last use ends', () => {
    const { budget, texts } = setUp()
    const first = texts.keep(LONG)!
    const held = budget.heldBytes('names')
    expect(held >= LONG.length).toEqual(true)
    expect(texts.keep(`${LONG}`)).toEqual(first)
    expect(budget.heldBytes('names')).toEqual(held)
    texts.release(first)
    expect(budget.heldBytes('names')).toEqual(held)
    texts.release(first)
    expect([budget.heldBytes('names'), texts.size]).toEqual([0, 0])
  })

  it('keeps a text in place of another one if both do not fit', () => {
    const { texts } = setUp()
    const large = texts.keep('a'.repeat(2000))!
    expect(texts.keep('b'.repeat(2000))).toEqual(undefined)
    expect(texts.keep('b'.repeat(2000), large)?.text).toEqual('b'.repeat(2000))
    expect(texts.size).toEqual(1)
  })

  it('goes on keeping a text whose replacement does not fit', () => {
    const { budget, texts } = setUp()
    const kept = texts.keep(LONG)!
    const held = budget.heldBytes('names')
    expect(texts.keep('b'.repeat(5000), kept)).toEqual(undefined)
    expect(texts.keep(LONG)).toEqual(kept)
    expect(budget.heldBytes('names')).toEqual(held)
  })
})

describe('fingerprints', () => {
  it('are short, and differ also from texts that look like them', () => {
    const digest = fingerprintOf(LONG)
    expect(digest.length < 100).toEqual(true)
    const texts = [LONG, `${LONG}q`, digest, fingerprintOf(digest), digest.slice(0, 64), 'q'.repeat(64), 'q'.repeat(65), '']
    expect(new Set(texts.map(fingerprintOf)).size).toEqual(texts.length)
    expect(fingerprintOf(`${LONG}`)).toEqual(digest)
  })
})
