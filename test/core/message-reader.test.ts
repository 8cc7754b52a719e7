import { describe, it } from 'node:test'
import { expect } from 'earl'
import { proofRequest, proofResponse } from '../../src/entry/freshness/proof-messages.ts'
import { homeReply, homeStatement, homeStep } from '../../src/entry/homes/messages.ts'
import { snapshotReply, snapshotRequest } from '../../src/entry/registry/types.ts'
import { replyFrame, requestFrame } from '../../src/peers/types.ts'
import { MESSAGES } from '../frozen/message-examples.ts'

const FRAMES = [
  { id: 1, type: 'neighbour', body: {} }, { id: 1, body: [] }, { id: 1 }, { id: 1, body: 'x', failure: undefined },
  { id: 1, failure: { verdict: 'not-run', entry: 'Overloaded', details: {} } }
]
const questionsOf = (type: string): unknown[] => [...MESSAGES[type]!.questions, ...MESSAGES[type]!.refused]
const READERS = {
  requestFrame: { reader: requestFrame, examples: FRAMES },
  replyFrame: { reader: replyFrame, examples: FRAMES },
  homeStatement: { reader: homeStatement, examples: questionsOf('home-statement') },
  homeStep: { reader: homeStep, examples: questionsOf('home-step') },
  homeReply: { reader: homeReply, examples: [...MESSAGES['home-statement']!.answers, ...MESSAGES['home-step']!.answers] },
  snapshotRequest: { reader: snapshotRequest, examples: questionsOf('registry-snapshot') },
  snapshotReply: { reader: snapshotReply, examples: MESSAGES['registry-snapshot']!.answers },
  proofRequest: { reader: proofRequest, examples: questionsOf('freshness-proofs') },
  proofResponse: { reader: proofResponse, examples: MESSAGES['freshness-proofs']!.answers }
}
const REPLACEMENTS = [
  undefined, null, '', 'text', 0, -1, 1.5, NaN, Infinity, 2 ** 53, true, [], [1], ['a', 2], {}, { other: 1 }, [['a', 'b']]
]

/** Returns a value with each of its parts replaced, removed or given an unknown field, at every depth. */
function variantsOf (value: unknown): unknown[] {
  if (typeof value !== 'object' || value === null) {
    return REPLACEMENTS
  }
  const entries = Object.entries(value)
  const rebuild = (changed: Array<[string, unknown]>): unknown =>
    Array.isArray(value) ? changed.map(([, part]) => part) : Object.fromEntries(changed)
  return [
    ...REPLACEMENTS,
    rebuild([...entries, ['constructor', 1]]),
    ...entries.map(([removed]) => rebuild(entries.filter(([name]) => name !== removed))),
    ...entries.flatMap(([changed, part]) => variantsOf(part).map((variant) =>
      rebuild(entries.map(([name, other]) => [name, name === changed ? variant : other]))))
  ]
}

const outcomeOf = (read: () => unknown): unknown => {
  try {
    return { value: read() }
  } catch (thrown) {
    return { error: (thrown as Error).message }
  }
}

describe('a reader of messages', () => {
  for (const [name, { reader, examples }] of Object.entries(READERS)) {
    // A check that accepts more than its schema would let malformed messages in, or keep fields that are dropped.
    it(`accepts, drops and refuses what the schema does: ${name}`, () => {
      const values = examples.flatMap((example) => [example, ...variantsOf(example)])
      for (const value of values) {
        expect(outcomeOf(() => reader.read(value))).toEqual(outcomeOf(() => reader.schema.parse(value)))
      }
    })
  }
})
