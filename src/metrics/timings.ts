/** Times of things by label, each in a histogram, within a bounded set of labels. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Labels that one timing may have; further ones are counted under {@link OTHER_LABEL}. */
const MAXIMUM_LABELS = 32
/** Stands for labels beyond the bound. */
export const OTHER_LABEL = 'other'
const MICROSECONDS = 1000
const HIGHEST_MICROSECONDS = 60_000_000
const QUANTILES = [50, 90, 99, 99.9]

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
    const created = build({
      lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 1
    })
    histograms.set(label, created)
    return created
  }
  return {
    record: (label, durationMs) => {
      const microseconds = Math.round(durationMs * MICROSECONDS)
      histogramOf(label).recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, microseconds)))
    },
    read: () => Object.fromEntries([...histograms].flatMap(([label, histogram]) => [
      [`${label} count`, histogram.totalCount],
      ...QUANTILES.map((quantile) =>
        [`${label} ${quantile / 100}`, histogram.getValueAtPercentile(quantile) / MICROSECONDS])
    ]))
  }
}
