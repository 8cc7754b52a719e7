import { describe, it } from 'node:test'
import { expect } from 'earl'
import { mayWriteOn } from '../../src/core/wire/write-rules.ts'

const LARGE = 10_000_000

describe('whether the rows of an answer are still written', () => {
  it('always, while the host does not stop', () => {
    const slow = { remainingBytes: LARGE, roomBytes: 0, longestWaitMs: 60_000 }
    expect(mayWriteOn(slow, Infinity)).toEqual(true)
  })

  it('while twice the longest recent wait remains, so that the connection will have room once more', () => {
    const progress = { remainingBytes: LARGE, roomBytes: 0, longestWaitMs: 400 }
    expect([mayWriteOn(progress, 801), mayWriteOn(progress, 800)]).toEqual([true, false])
  })

  it('while two seconds remain, if no wait has been observed', () => {
    const progress = { remainingBytes: LARGE, roomBytes: 0, longestWaitMs: undefined }
    expect([mayWriteOn(progress, 2001), mayWriteOn(progress, 2000)]).toEqual([true, false])
  })

  it('until the end if the connection takes the rest at once', () => {
    expect(mayWriteOn({ remainingBytes: LARGE, roomBytes: LARGE, longestWaitMs: 400 }, 0)).toEqual(true)
  })
})
