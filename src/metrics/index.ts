/** Plug-in `metrics`: counters, gauges and latency histograms in a Prometheus registry. */
import { Gauge, Registry } from 'prom-client'
import { registerPlugin } from '../core/kernel/index.ts'
import { createHistogram, createTiming, OTHER_LABEL, readQuantiles, recordDuration, type Timing } from './timings.ts'

/** Service of the plug-in `metrics`. */
export interface Metrics {
  registry: Registry
  /**
   * Records a completed request of a caller.
   *
   * @param outcome - `done`, or the name of the error
   * @param durationMs - duration, in milliseconds
   */
  recordRequest: (outcome: string, durationMs: number) => void
  /**
   * Registers a gauge whose values are read on collection.
   *
   * @param name - name of the metric
   * @param help - description of the metric
   * @param read - returns the values by label
   */
  registerGauge: (name: string, help: string, read: () => Record<string, number>) => void
  /**
   * Registers durations by label, exposed as quantiles and counts.
   *
   * @param name - name of the metric
   * @param help - description of the metric
   * @returns a function that records a duration
   */
  registerTiming: (name: string, help: string) => Timing['record']
  /**
   * Registers a counter by label.
   *
   * @param name - name of the metric
   * @param help - description of the metric
   * @returns a function that increments the counter of a label
   */
  registerCounter: (name: string, help: string) => (label: string) => void
}

declare module '../core/kernel/index.ts' {
  interface Services { metrics: Metrics }
}

/** Maximum number of labels of a counter; further ones are counted under {@link OTHER_LABEL}. */
const MAXIMUM_COUNTED_LABELS = 64

registerPlugin({
  name: 'metrics',
  dependencies: [],
  start: () => {
    const registry = new Registry()
    const outcomes = new Map<string, number>()
    const histogram = createHistogram(2)
    const readRequestTimes = (): Record<string, number> => Object.fromEntries(readQuantiles(histogram))

    const registerGauge: Metrics['registerGauge'] = (name, help, read) => {
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
    const registerTiming: Metrics['registerTiming'] = (name, help) => {
      const timing = createTiming()
      registerGauge(name, help, timing.read)
      return timing.record
    }
    const registerCounter: Metrics['registerCounter'] = (name, help) => {
      const counts = new Map<string, number>()
      registerGauge(name, help, () => Object.fromEntries(counts))
      return (label) => {
        const bounded = counts.has(label) || counts.size < MAXIMUM_COUNTED_LABELS ? label : OTHER_LABEL
        counts.set(bounded, (counts.get(bounded) ?? 0) + 1)
      }
    }
    registerGauge('worksward_request_milliseconds', 'Time of callers\' requests, by quantile', readRequestTimes)
    registerGauge('worksward_requests', 'Callers\' requests, by outcome', () => Object.fromEntries(outcomes))

    return {
      service: {
        registry,
        registerGauge,
        registerTiming,
        registerCounter,
        recordRequest: (outcome, durationMs) => {
          outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
          recordDuration(histogram, durationMs)
        }
      },
      dump: () => ({ requests: Object.fromEntries(outcomes), milliseconds: readRequestTimes() })
    }
  }
})
