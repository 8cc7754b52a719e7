/** Plug-in `metrics`: times of requests in histograms, shown as Prometheus text and in dumps. */
import { Gauge, Registry } from 'prom-client'
import { registerPlugin } from '../core/kernel/index.ts'
import { createHistogram, createTiming, OTHER_LABEL, readQuantiles, recordTime, type Timing } from './timings.ts'

/** Service of the plug-in. */
export interface Metrics {
  registry: Registry
  /**
   * Records a request of a caller.
   *
   * @param outcome - `done`, or the name of the error
   * @param durationMs - its time, in milliseconds
   */
  recordRequest: (outcome: string, durationMs: number) => void
  /**
   * Shows numbers that others count.
   *
   * @param name - name of the metric
   * @param help - what it is
   * @param read - returns the numbers by label
   */
  registerGauge: (name: string, help: string, read: () => Record<string, number>) => void
  /**
   * Shows times by label, as quantiles and counts.
   *
   * @param name - name of the metric
   * @param help - what it is
   * @returns records the times
   */
  registerTiming: (name: string, help: string) => Timing['record']
  /**
   * Shows a counter by label.
   *
   * @param name - name of the metric
   * @param help - what it is
   * @returns counts one under a label
   */
  registerCounter: (name: string, help: string) => (label: string) => void
}

declare module '../core/kernel/index.ts' {
  interface Services { metrics: Metrics }
}

/** Labels that one counter may have. */
const MAXIMUM_COUNTED_LABELS = 64

registerPlugin({
  name: 'metrics',
  dependencies: [],
  start: () => {
    const registry = new Registry()
    const outcomes = new Map<string, number>()
    const histogram = createHistogram(2)
    const readRequestTimes = (): Record<string, number> => Object.fromEntries(readQuantiles(histogram))

    const expose: Metrics['registerGauge'] = (name, help, read) => {
      const gauge = new Gauge({
        name,
        help,
        labelNames: ['label'],
        registers: [registry],
        collect: () => {
          gauge.reset()
          Object.entries(read()).forEach(([label, value]) => gauge.set({ label }, value))
        }
      })
    }
    const time: Metrics['registerTiming'] = (name, help) => {
      const timing = createTiming()
      expose(name, help, timing.read)
      return timing.record
    }
    const count: Metrics['registerCounter'] = (name, help) => {
      const counts = new Map<string, number>()
      expose(name, help, () => Object.fromEntries(counts))
      return (label) => {
        const bounded = counts.has(label) || counts.size < MAXIMUM_COUNTED_LABELS ? label : OTHER_LABEL
        counts.set(bounded, (counts.get(bounded) ?? 0) + 1)
      }
    }
    expose('worksward_request_milliseconds', 'Time of callers\' requests, by quantile', readRequestTimes)
    expose('worksward_requests', 'Callers\' requests, by outcome', () => Object.fromEntries(outcomes))

    return {
      service: {
        registry,
        registerGauge: expose,
        registerTiming: time,
        registerCounter: count,
        recordRequest: (outcome, durationMs) => {
          outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
          recordTime(histogram, durationMs)
        }
      },
      dump: () => ({ requests: Object.fromEntries(outcomes), milliseconds: readRequestTimes() })
    }
  }
})
