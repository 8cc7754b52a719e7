import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import type { Logger } from '../../../src/core/logger/index.ts'
import { createWarmUp, POSTPONED_MS, WARM_UP_LIMIT_MS } from '../../../src/entry/readiness/warm-up.ts'

/** Collects the fields of the event. */
class Report implements Logger {
  fields: Record<string, unknown> = {}
  log (_level: string, _event: string, fields: Record<string, unknown> = {}): void {
    this.fields = fields
  }
}

describe('a warm-up', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(async () => {
    // Runs what the test runner has queued on the paused clock; it would lose the results otherwise.
    await clock.tickAsync(10)
    clock.uninstall()
  })

  it('ends at its limit although a step does not end, and reports what is missing', async () => {
    const report = new Report()
    const warmUp = createWarmUp({
      isReturnOfAll: async () => false,
      steps: {
        links: async (progress) => {
          progress.wanted = 3
          progress.ready = 2
          await new Promise(() => {})
        },
        proofs: async (progress) => { progress.wanted = progress.ready = 1 }
      }
    }, report)
    warmUp.start()
    await clock.tickAsync(WARM_UP_LIMIT_MS - 1)
    expect(warmUp.isDone).toEqual(false)
    // The turn of the event loop after the timeout takes 1 ms here.
    await clock.tickAsync(2)
    expect(warmUp.isDone).toEqual(true)
    expect(report.fields).toEqual({
      tookMs: WARM_UP_LIMIT_MS + 1,
      limitPassed: true,
      postponed: false,
      links: '2/3',
      linksMs: 'unfinished',
      proofs: '1/1',
      proofsMs: 0
    })
  })

  it('does not delay readiness while all hosts return, and is done later', async () => {
    const report = new Report()
    const warmUp = createWarmUp({
      isReturnOfAll: async () => true,
      steps: { links: async (progress) => { progress.wanted = progress.ready = 3 } }
    }, report)
    warmUp.start()
    await clock.tickAsync(1)
    expect([warmUp.isDone, report.fields['postponed'], report.fields['links']]).toEqual([true, true, undefined])
    await clock.tickAsync(POSTPONED_MS)
    expect([report.fields['postponed'], report.fields['links']]).toEqual([false, '3/3'])
  })
})
