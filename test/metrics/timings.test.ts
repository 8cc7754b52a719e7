import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createTiming, OTHER_LABEL } from '../../src/metrics/timings.ts'

describe('createTiming', () => {
  it('reports count and quantiles by label', () => {
    const timing = createTiming()
    for (let index = 0; index < 100; index++) {
      timing.record('read done', index < 95 ? 10 : 1000)
    }
    const shown = timing.read()
    expect(shown['read done count']).toEqual(100)
    expect(Math.abs(shown['read done 0.5']! - 10) < 1).toEqual(true)
    expect(Math.abs(shown['read done 0.99']! - 1000) < 100).toEqual(true)
  })

  it('limits the number of labels', () => {
    const timing = createTiming()
    for (let index = 0; index < 200; index++) {
      timing.record(`label-${index}`, 1)
    }
    const labels = new Set(Object.keys(timing.read()).map((name) => name.split(' ')[0]))
    expect(labels.size <= 33).toEqual(true)
    expect(labels.has(OTHER_LABEL)).toEqual(true)
  })
})
