import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countReach, isLostToMost, type ReachAnswer } from '../../../src/entry/leadership/reach.ts'

const never = new Promise<ReachAnswer>(() => {})
const ask = async (answers: ReachAnswer[], open: Array<Promise<ReachAnswer>> = []): Promise<boolean> =>
  isLostToMost(await countReach([...answers.map(async (answer) => answer), ...open]))

describe('counting who reaches a primary', () => {
  it('does not wait for hosts whose answers cannot matter', async () => {
    expect(await ask(['lost', 'lost', 'lost'], [never])).toEqual(true)
    expect(await ask(['lost', 'reached', 'reached', 'reached'], [never])).toEqual(false)
  })
  it('counts silent hosts as possibly at work', async () => {
    expect(await ask(['lost', 'silent', 'silent'])).toEqual(false)
    expect(await ask(['lost', 'lost', 'silent'])).toEqual(true)
  })
  it('takes a question that fails for silence', async () => {
    const failing = new Promise<ReachAnswer>((_resolve, reject) => { setImmediate(reject, new Error('broken')) })
    expect(await ask(['lost', 'silent'], [failing])).toEqual(false)
  })
  it('does not count hosts on which nothing runs', async () => {
    expect(await ask(['lost', 'not-running', 'not-running'])).toEqual(true)
  })
  it('leaves a primary that most reach', async () => {
    expect(await ask(['lost', 'reached', 'reached'])).toEqual(false)
  })
})
