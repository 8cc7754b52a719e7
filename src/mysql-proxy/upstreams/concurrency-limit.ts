/**
 * Adaptive concurrency limit for the statements of an upstream. The limit grows while the mean latency stays close to
 * the lowest recent latency, and shrinks when higher latency shows that statements queue at the upstream.
 */

/** Smoothing factor of the mean latency and of the limit. */
const SAMPLE_WEIGHT = 0.1
/** Statements per batch; the lowest latency is taken from means of batches, so that single outliers do not count. */
const BATCH_SAMPLES = 8
/** Batches per window; at the end of a window, the lowest latency of earlier windows is discarded. */
const WINDOW_BATCHES = 64
/** Mean latency up to which the limit grows, as a multiple of the lowest latency. */
const TOLERATED_LATENCY_RATIO = 3
/** Added to the tolerated latency, in milliseconds, so that timer resolution is not mistaken for queueing. */
const TIMER_RESOLUTION_MS = 2
/** Age of the last sample, in milliseconds, from which the mean is stale and the next sample replaces it. */
const MEAN_MAX_AGE_MS = 500
/** Lower bound of the ratio of tolerated to mean latency, which bounds how fast the limit shrinks. */
const MINIMUM_GRADIENT = 0.5

/** Concurrency limit that adapts to the latency of statements. */
interface ConcurrencyLimit {
  /** Statements that may run concurrently; at least 1. */
  readonly current: number
  /** Mean latency of a statement, in milliseconds; 0 before the first sample. */
  readonly meanMs: number
  /** Whether no statement has completed recently enough for the mean to be valid. */
  readonly isMeanStale: boolean
  /**
   * Adds the latency of a completed statement and adapts the limit.
   *
   * @param latencyMs - the latency, in milliseconds
   */
  record: (latencyMs: number) => void
}

/** Options of {@link createConcurrencyLimit}. */
interface ConcurrencyLimitOptions {
  /** Limit before the first sample. */
  initial: number
  /** Returns the upper bound of the limit. */
  maximum: () => number
}

/**
 * Creates a concurrency limit.
 *
 * @param options - initial value and upper bound
 * @returns the limit
 */
export function createConcurrencyLimit ({ initial, maximum }: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = initial
  let mean = 0
  let lowest = Infinity
  let lowestOfWindow = Infinity
  let batchSum = 0
  let samples = 0
  let lastSampleAt = -Infinity
  const isMeanStale = (): boolean => performance.now() - lastSampleAt > MEAN_MAX_AGE_MS

  const updateLowest = (latencyMs: number): void => {
    batchSum += latencyMs
    samples++
    if (samples % BATCH_SAMPLES !== 0) {
      return
    }
    const batchMean = batchSum / BATCH_SAMPLES
    batchSum = 0
    lowestOfWindow = Math.min(lowestOfWindow, batchMean)
    lowest = Math.min(lowest, batchMean)
    if (samples === BATCH_SAMPLES * WINDOW_BATCHES) {
      lowest = lowestOfWindow
      lowestOfWindow = Infinity
      samples = 0
    }
  }

  return {
    get current () { return Math.max(1, Math.min(Math.floor(limit), maximum())) },
    get meanMs () { return mean },
    get isMeanStale () { return isMeanStale() },
    record: (latencyMs) => {
      updateLowest(latencyMs)
      mean = isMeanStale() ? latencyMs : mean + SAMPLE_WEIGHT * (latencyMs - mean)
      lastSampleAt = performance.now()
      const tolerated = lowest * TOLERATED_LATENCY_RATIO + TIMER_RESOLUTION_MS
      const gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, tolerated / mean))
      const target = limit * gradient + Math.sqrt(limit) * SAMPLE_WEIGHT
      limit = Math.max(1, Math.min(maximum(), limit + SAMPLE_WEIGHT * (target - limit)))
    }
  }
}
