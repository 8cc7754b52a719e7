/** Computes throughput, latency and failover gap from a history. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { HistoryEvent } from './history.ts'

/** Throughput, outcomes and latency percentiles of one run. */
interface Summary {
  operations: number
  done: number
  notRun: number
  mayHaveRun: number
  perSecond: number
  readP50Ms: number
  readP99Ms: number
  writeP50Ms: number
  writeP99Ms: number
}

const MICROSECONDS_PER_MS = 1000
const HIGHEST_MICROSECONDS = 60_000_000

/**
 * Creates a histogram of durations.
 *
 * @returns the histogram, in microseconds
 */
export function createTimeHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3
  })
}

/**
 * Records a duration.
 *
 * @param histogram - the histogram
 * @param durationMs - the duration, in milliseconds
 */
export function recordTime (histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS))))
}

/**
 * Returns a percentile.
 *
 * @param histogram - a histogram of durations
 * @param percentile - 0 to 100
 * @returns milliseconds, rounded to two decimal places
 */
export function percentileMs (histogram: Histogram, percentile: number): number {
  return Math.round(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS * 100) / 100
}

/**
 * Summarizes a run.
 *
 * @param events - events of the run
 * @returns the summary
 */
export function summarize (events: HistoryEvent[]): Summary {
  const reads = createTimeHistogram()
  const writes = createTimeHistogram()
  const done = events.filter(({ outcome }) => outcome.type === 'done')
  for (const event of done) {
    const isWrite = event.operation.type === 'purchase' || event.operation.type === 'transfer'
    recordTime(isWrite ? writes : reads, event.endedAt - event.startedAt)
  }
  const lastEnd = events.reduce((latest, { endedAt }) => Math.max(latest, endedAt), 1)
  const refusedAs = (verdict: string): number =>
    events.filter(({ outcome }) => outcome.type === 'refused' && outcome.verdict === verdict).length
  return {
    operations: events.length,
    done: done.length,
    notRun: refusedAs('not-run'),
    mayHaveRun: refusedAs('may-have-run'),
    perSecond: Math.round(done.length / lastEnd * 1000),
    readP50Ms: percentileMs(reads, 50),
    readP99Ms: percentileMs(reads, 99),
    writeP50Ms: percentileMs(writes, 50),
    writeP99Ms: percentileMs(writes, 99)
  }
}

/** Time after a failure in which the end of its gap is searched, in milliseconds. */
const GAP_WINDOW_MS = 10_000

/**
 * Returns the longest interval between acknowledged writes that ends after the failure.
 *
 * @param events - events of the run
 * @param failedAt - when the primary failed, in milliseconds since the start of the run
 * @returns the gap in milliseconds, or undefined when no write was acknowledged after the failure
 */
export function failoverGapMs (events: HistoryEvent[], failedAt: number): number | undefined {
  const acknowledgedAt = events
    .filter(({ operation, outcome }) => outcome.type === 'done' && ['purchase', 'transfer'].includes(operation.type))
    .map(({ endedAt }) => endedAt)
    .sort((left, right) => left - right)
  const gaps = acknowledgedAt
    .map((endedAt, index) => ({ endedAt, gap: endedAt - (acknowledgedAt[index - 1] ?? 0) }))
    .filter(({ endedAt }) => endedAt > failedAt && endedAt < failedAt + GAP_WINDOW_MS)
  return gaps.length === 0 ? undefined : Math.max(...gaps.map(({ gap }) => gap))
}
