/**
 * Measures the time from the start of the process to the first request that is served. The gauge is registered with
 * that request, so that it has a value whenever it is exposed.
 */
import type { Metrics } from '../../metrics/index.ts'

/**
 * Wraps the function that records completed requests.
 *
 * @param metrics - records requests, and exposes the gauge
 * @returns the function that records a request by its outcome and duration, in milliseconds
 */
export function recordFirstServed (
  { recordRequest, registerGauge }: Pick<Metrics, 'recordRequest' | 'registerGauge'>
): Metrics['recordRequest'] {
  let hasServed = false
  return (outcome, durationMs) => {
    if (!hasServed && outcome === 'done') {
      hasServed = true
      // The monotonic clock begins with the process.
      const tookMs = performance.now()
      registerGauge('worksward_first_served_milliseconds', 'Time from the start of the process to the first served request',
        () => ({ first: tookMs }))
    }
    recordRequest(outcome, durationMs)
  }
}
