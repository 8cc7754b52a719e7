/** Duration histograms by label, with a bounded number of labels. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Maximum number of labels of a timing; further ones are counted under {@link OTHER_LABEL}. */
const MAXIMUM_LABELS = 32
/** Label that replaces those beyond the maximum. */
export const OTHER_LABEL = 'other'
/** Histograms are in microseconds; durations above a minute are recorded as a minute. */
const MICROSECONDS_PER_MS = 1000
const MAXIMUM_DURATION_MICROSECONDS = 60_000_000
/** Exposed quantiles, in percent. */
const QUANTILES = [50, 90, 99, 99.9]

/**
 * Creates a histogram of durations.
 *
 * @param digits - precision, in significant digits
 * @returns the histogram, in microseconds
 */
export function createHistogram (digits: 1 | 2): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_DURATION_MICROSECONDS,
    numberOfSignificantValueDigits: digits
  })
}

/**
 * Records a duration in a histogram.
 *
 * @param histogram - the histogram
 * @param durationMs - duration, in milliseconds
 */
export function recordDuration (histogram: Histogram, durationMs: number): void {
  const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS)
  histogram.recordValue(Math.min(MAXIMUM_DURATION_MICROSECONDS, Math.max(1, microseconds)))
}

/**
 * Reads the exposed quantiles.
 *
 * @param histogram - the histogram
 * @returns pairs of a quantile, from 0 to 1, and its duration in milliseconds
 */
export function readQuantiles (histogram: Histogram): Array<[string, number]> {
  return QUANTILES.map((quantile) =>
    [String(quantile / 100), histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS])
}

/** Durations of an operation, by label. */
export interface Timing {
  /**
   * Records a duration.
   *
   * @param label - label, such as the outcome
   * @param durationMs - duration, in milliseconds
   */
  record: (label: string, durationMs: number) => void
  /** Returns the quantiles, in milliseconds, under `LABEL QUANTILE` and the counts under `LABEL count`. */
  read: () => Record<string, number>
}

/**
 * Creates an empty timing.
 *
 * @returns the timing
 */
export function createTiming (): Timing {
  const histograms = new Map<string, Histogram>()
  const getOrCreateHistogram = (label: string): Histogram => {
    const known = histograms.get(label)
    if (known !== undefined) {
      return known
    }
    if (histograms.size >= MAXIMUM_LABELS && label !== OTHER_LABEL) {
      return getOrCreateHistogram(OTHER_LABEL)
    }
    const created = createHistogram(1)
    histograms.set(label, created)
    return created
  }
  return {
    record: (label, durationMs) => recordDuration(getOrCreateHistogram(label), durationMs),
    read: () => Object.fromEntries([...histograms].flatMap(([label, histogram]) => [
      [`${label} count`, histogram.totalCount],
      ...readQuantiles(histogram).map(([quantile, durationMs]) => [`${label} ${quantile}`, durationMs])
    ]))
  }
}
