import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { RequestError } from '../../../src/core/errors/index.ts'
import { REFUSED_HERE_MS } from '../../../src/entry/limits/organisation-grants.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from '../../../src/entry/limits/prefetched-grants.ts'

describe('the operations that a host may run for an organisation', () => {
  let clock: Clock
  let grants: PrefetchedGrants
  /** Numbers of operations that were asked for. */
  let asked: number[]
  /** Operations that the owner has left. */
  let left: number
  let answers: boolean

  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] })
    asked = []
    left = Infinity
    answers = true
    grants = createPrefetchedGrants({
      limitOf: () => ({ perSecond: 20, burst: 20 }),
      ask: async (_organisation, wanted) => {
        asked.push(wanted)
        await new Promise((resolve) => { setTimeout(resolve, 2) })
        const granted = Math.min(wanted, left)
        left -= granted
        return answers ? { granted, retryAfterMs: granted < wanted ? 900 : 0, version: 7, keeper: 'h4' } : undefined
      }
    })
  })
  afterEach(() => { clock.uninstall() })

  /** Takes some at once; returns how many were had, and why others were not. */
  const take = async (count: number): Promise<{ had: number, reasons: string[] }> => {
    const outcomes = Promise.allSettled(Array.from({ length: count }, async () => await grants.take('red')))
    await clock.tickAsync(10)
    const reasons = (await outcomes).flatMap((outcome) =>
      outcome.status === 'rejected' ? [(outcome.reason as RequestError).message] : [])
    return { had: count - reasons.length, reasons }
  }

  it('are asked for once for all that wait', async () => {
    await take(1)
    await clock.tickAsync(5000)
    // One question for the first of them, one for those that came meanwhile.
    expect((await take(8)).had).toEqual(8)
    expect(asked.length).toEqual(3)
  })

  it('are asked for ahead where an organisation asks often, and each time where it does not', async () => {
    for (let turn = 0; turn < 100; turn++) {
      await take(1)
    }
    const often = asked.length
    expect(often <= 20).toEqual(true)
    for (let turn = 0; turn < 10; turn++) {
      await clock.tickAsync(2000)
      await take(1)
    }
    expect(asked.length - often).toEqual(10)
  })

  it('are refused without a question for a while once there are none, with the limit and the time to come back', async () => {
    left = 1
    expect((await take(3)).had).toEqual(1)
    const before = asked.length
    const { had, reasons } = await take(1)
    const says = /^red has reached its limit of 20 operations a second and 20 at a time \(version 7, kept by h4\)/
    expect([had, says.test(reasons[0]!), asked.length]).toEqual([0, true, before])
    left = Infinity
    await clock.tickAsync(REFUSED_HERE_MS)
    expect((await take(1)).had).toEqual(1)
  })

  it('are had again when one that was not run is given back, and are fewer after one that may have run twice', async () => {
    left = 1
    await take(1)
    grants.giveBack('red')
    expect((await take(1)).had).toEqual(1)
    grants.countAgain('red')
    left = Infinity
    await take(1)
    expect(asked.at(-1)).toEqual(2)
  })

  it('are not had while no host can say what is left', async () => {
    answers = false
    const { had, reasons } = await take(2)
    expect([had, reasons[0]!.startsWith('no host could say what the limit of red leaves')]).toEqual([0, true])
  })
})
