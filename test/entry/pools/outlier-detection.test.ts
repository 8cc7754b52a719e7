import { deepEqual, equal } from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { OutcomeRecord } from '../../../src/entry/pools/outcome-record.ts'
import { OutlierDetector, type OutlierReport } from '../../../src/entry/pools/outlier-detection.ts'

/** Time between two reads of each upstream, in milliseconds. */
const STEP_MS = 500

describe('the judgement of an upstream among its siblings', () => {
  let clock: Clock
  let reports: OutlierReport[]
  let detector: OutlierDetector
  let upstreams: Array<{ upstream: string, outcomes: OutcomeRecord }>

  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance'] })
    reports = []
    detector = new OutlierDetector((report) => reports.push(report))
    upstreams = ['a', 'b', 'c'].map((upstream) => ({ upstream, outcomes: new OutcomeRecord() }))
  })
  afterEach(() => clock.uninstall())

  /** Records rounds of one read at each upstream, of which two of five fail where `failing`. */
  function run (rounds: number, slownesses: number[], failing: boolean[] = []): void {
    for (let round = 0; round < rounds; round++) {
      upstreams.forEach(({ outcomes }, index) => {
        const failed = failing[index] === true && round % 5 < 2
        outcomes.record({ ranMs: 20 * slownesses[index]!, costMs: 20, failed })
      })
      clock.tick(STEP_MS)
    }
  }
  const avoided = (): string => [...detector.avoidedBy(upstreams)].join()

  it('avoids the slow one of three after three of its reads, and reports it once', () => {
    run(2, [5, 1, 1])
    equal(avoided(), '')
    run(2, [5, 1, 1])
    equal(avoided(), 'a')
    equal(avoided(), 'a')
    equal(reports.length, 1)
    equal(reports[0]!.slowness.toFixed(1), '5.0')
  })

  it('avoids one that fails 0.4 of its reads, but none where all fail as often', () => {
    run(7, [1, 1, 1], [false, true, false])
    equal(avoided(), 'b')
    run(30, [1, 1, 1], [true, true, true])
    equal(avoided(), '')
  })

  it('avoids none where all are slow at once, one read took long, or durations differ by a factor of two', () => {
    run(5, [6, 5, 6])
    equal(avoided(), '')
    run(30, [1, 2, 1])
    equal(avoided(), '')
    upstreams[0]!.outcomes.record({ ranMs: 300, costMs: 20, failed: false })
    equal(avoided(), '')
  })

  it('tries an avoided one with a twelfth of the reads, and with none before a second has passed', () => {
    run(4, [5, 1, 1])
    const tried: number[] = []
    for (let read = 0; read < 36; read++) {
      avoided() === '' && tried.push(read)
      clock.tick(50)
    }
    deepEqual(tried.length, 1)
  })

  it('stops avoiding one that has recovered within seconds, and one without any reads', () => {
    run(4, [5, 1, 1])
    equal(avoided(), 'a')
    run(6, [1, 1, 1])
    equal(avoided(), '')
    equal(reports.map((report) => report.avoided).join(), 'true,false')
    run(6, [5, 1, 1])
    equal(avoided(), 'a')
    clock.tick(20_000)
    equal(avoided(), '')
  })
})
