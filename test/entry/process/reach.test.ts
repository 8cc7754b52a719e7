import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countAnswers, shouldReplacePrimary, type ReachAnswer } from '../../../src/entry/leadership/reach.ts'

const never = new Promise<ReachAnswer>(() => {})
const decide = async (answers: ReachAnswer[], pending: Array<Promise<ReachAnswer>> = []): Promise<boolean> =>
  shouldReplacePrimary(await countAnswers([...answers.map(async (answer) => answer), ...pending]))

describe('the answers of hosts whether they reach a primary', () => {
  it('are not awaited once they cannot change the decision', async () => {
    expect(await decide(['lost', 'lost', 'lost'], [never])).toEqual(true)
    expect(await decide(['lost', 'reached', 'reached', 'reached'], [never])).toEqual(false)
  })
  it('keep the primary if more hosts are silent than have lost it', async () => {
    expect(await decide(['lost', 'silent', 'silent'])).toEqual(false)
    expect(await decide(['lost', 'lost', 'silent'])).toEqual(true)
  })
  it('count as silent if the request fails', async () => {
    const failing = new Promise<ReachAnswer>((_resolve, reject) => { setImmediate(reject, new Error('broken')) })
    expect(await decide(['lost', 'silent'], [failing])).toEqual(false)
  })
  it('are ignored for hosts that run no process', async () => {
    expect(await decide(['lost', 'not-running', 'not-running'])).toEqual(true)
  })
  it('keep a primary that most hosts reach', async () => {
    expect(await decide(['lost', 'reached', 'reached'])).toEqual(false)
  })
})
