import { describe, it } from 'node:test'
import { expect } from 'earl'
import { stopTimesOf } from '../../../src/entry/requests/stop-times.ts'

describe('times of a planned stop', () => {
  it('leave a second after the answers', () => {
    expect(stopTimesOf(6000))
      .toEqual({ endingMs: 2200, transactionsMs: 3000, answersMs: 5000, flushMs: 5550, limitMs: 5600 })
    expect(stopTimesOf(30_000).answersMs).toEqual(29_000)
  })

  it('leave a third of a short grace period after the answers, so that the stop is over in time', () => {
    expect(stopTimesOf(3000))
      .toEqual({ endingMs: 1500, transactionsMs: 1500, answersMs: 2000, flushMs: 2550, limitMs: 2600 })
  })
})
