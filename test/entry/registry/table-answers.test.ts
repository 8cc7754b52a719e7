import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { STALE_AFTER_MS } from '../../../src/entry/ports/change-bound.ts'
import { createTableServer } from '../../../src/entry/registry/table-answers.ts'
import { createTableCopy } from '../../../src/entry/registry/table-copy.ts'

const ROW = { key: 'a', value: 'x', version: 3 }

describe('a request for a table', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }) })
  afterEach(() => clock.uninstall())

  const answerWith = async (ageMs: number, after: number | undefined): Promise<boolean> => {
    const copy = createTableCopy()
    copy.replace([ROW], 5)
    const server = createTableServer(() => 0)
    const confirmation = { confirmedAt: performance.now() - ageMs, source: 'store' }
    server.serve('t', { copy, confirmation: () => confirmation, requestFreshRead: () => {}, isFollowing: () => true })
    const response = server.respond({ table: 't', after })
    await clock.tickAsync(STALE_AFTER_MS)
    return (await response).changes !== undefined
  }

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
