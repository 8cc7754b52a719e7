import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { STALE_AFTER_MS } from '../../../src/entry/ports/change-bound.ts'
import { createTableServer } from '../../../src/entry/registry/table-answers.ts'
import { createTableCopy } from '../../../src/entry/registry/table-copy.ts'

const ROW = { key: 'a', value: 'x', version: 3 }
const LARGE_ROW = { key: 'a', value: 'x'.repeat(100_000), version: 7 }

describe('a request for a table', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }) })
  afterEach(() => clock.uninstall())

  const answerWith = async (ageMs: number, after: number | undefined): Promise<boolean> => {
    const copy = createTableCopy()
    copy.replace([ROW], 5)
    const server = createTableServer(() => 0)
    const confirmation = { confirmedAt: performance.now() - ageMs, source: 'store' }
    server.serve('t', {
      copy,
      confirmation: () => confirmation,
      requestFreshRead: () => {},
      isFollowing: () => true,
      isReceivingLarge: () => false
    })
    const response = server.respond({ table: 't', after })
    await clock.tickAsync(STALE_AFTER_MS)
    return (await response).changes !== undefined
  }

  // Guards against large changes on the link of one host, from which several others would wait for them.
  it('refers the host to the store if the change is large, or is still arriving', async () => {
    for (const isReceivingLarge of [false, true]) {
      const copy = createTableCopy()
      copy.replace([ROW], 5)
      const server = createTableServer(() => 0)
      const confirmation = { confirmedAt: performance.now(), source: 'store' }
      let isArriving = false
      server.serve('t', {
        copy,
        confirmation: () => confirmation,
        requestFreshRead: () => {},
        isFollowing: () => true,
        isReceivingLarge: () => isArriving
      })
      const response = server.respond({ table: 't', after: 5 })
      await clock.tickAsync(100)
      if (isReceivingLarge) {
        isArriving = true
        copy.recheck()
      } else {
        copy.update([LARGE_ROW], [], 7)
      }
      expect(await response).toEqual({ changes: undefined, isLarge: true })
    }
  })

  it('returns all rows of a confirmed copy to a host that starts', async () => {
    expect(await answerWith(0, undefined)).toEqual(true)
  })

  it('does not return an unconfirmed copy to a host that starts, which could have been newer before', async () => {
    expect(await answerWith(STALE_AFTER_MS, undefined)).toEqual(false)
  })

  it('does not report that nothing has changed while its long poll may hang', async () => {
    expect(await answerWith(STALE_AFTER_MS, 5)).toEqual(false)
  })

  it('returns changes also from an unconfirmed copy', async () => {
    expect(await answerWith(STALE_AFTER_MS, 2)).toEqual(true)
  })
})
