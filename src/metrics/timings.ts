/** Times of things by label, each in a histogram, within a bounded set of labels. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Labels that one timing may have; further ones are counted under {@link OTHER_LABEL}. */
const MAXIMUM_LABELS = 32
/** Stands for labels beyond the bound. */
export const OTHER_LABEL = 'other'
/** Times are kept in microseconds, up to a minute; longer ones count as a minute. */
const MICROSECONDS_PER_MS = 1000
const HIGHEST_MICROSECONDS = 60_000_000
/** Quantiles that are shown, in percent. */
const QUANTILES = [50, 90, 99, 99.9]

/**
 * Creates a histogram of times.
 *
 * @param digits - significant digits that are kept
 * @returns the histogram, in microseconds
 */
export function createHistogram (digits: 1 | 2): Histogram {
  return build({
    lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: digits
  })
}

/**
 * Records a time in a histogram.
 *
 * @param histogram - the histogram
 * @param durationMs - the time, in milliseconds
 */
export function recordTime (histogram: Histogram, durationMs: number): void {
  const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS)
  histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, microseconds)))
}

/**
 * Reads the quantiles that are shown.
 *
 * @param histogram - the histogram
 * @returns the quantile, from 0 to 1, and its time in milliseconds
 */
export function readQuantiles (histogram: Histogram): Array<[string, number]> {
  return QUANTILES.map((quantile) =>
    [String(quantile / 100), histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS])
}

/** Times of one kind of thing. */
export interface Timing {
  /**
   * Records a time.
   *
   * @param label - what it belongs to
   * @param durationMs - the time, in milliseconds
   */
  record: (label: string, durationMs: number) => void
  /** Quantiles in milliseconds, and the count, by `label quantile`. */
  read: () => Record<string, number>
}

/**
 * Creates a timing without any times.
 *
 * @returns the timing
 */
export function createTiming (): Timing {
  const histograms = new Map<string, Histogram>()
  const histogramOf = (label: string): Histogram => {
    const known = histograms.get(label)
    if (known !== undefined) {
      return known
    }
    if (histograms.size >= MAXIMUM_LABELS && label !== OTHER_LABEL) {
      return histogramOf(OTHER_LABEL)
    }
    const created = createHistogram(1)
    histograms.set(label, created)
    return created
  }
  return {
    record: (label, durationMs) => recordTime(histogramOf(label), durationMs),
    read: () => Object.fromEntries([...histograms].flatMap(([label, histogram]) => [
      [`${label} count`, histogram.totalCount],
      ...readQuantiles(histogram).map(([quantile, durationMs]) => [`${label} ${quantile}`, durationMs])
    ]))
  }
}
