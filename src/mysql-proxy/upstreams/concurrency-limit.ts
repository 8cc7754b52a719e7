/**
 * How many statements to have in progress on an upstream. The limit follows measured latency: while statements take
 * about as long as the fastest recent ones, it grows; when they take longer, they queue at the upstream and it shrinks.
 */

/** Weight of a new sample in the running mean. */
const SAMPLE_WEIGHT = 0.1
/** Statements whose mean is one candidate for the fastest latency; a single one may be a stroke of luck. */
const BATCH_SAMPLES = 8
/** Batches after which the fastest latency is measured anew. */
const WINDOW_BATCHES = 64
/** Queueing at the upstream, as a multiple of the fastest latency, that is accepted. */
const TOLERATED_SLOWDOWN = 3
/** Least change of the mean latency that is taken for queueing, in milliseconds. */
const TIMER_GRAIN_MS = 2
/**
 * Time after the last statement from which the mean latency is out of date, in milliseconds: the next one measures it
 * anew.
 */
const MEAN_VALID_MS = 500
/** Most the limit shrinks by in one step. */
const SMALLEST_GRADIENT = 0.5

/** Follows latency and limits how much may be in progress. */
interface ConcurrencyLimit {
  /** Statements that may be in progress. */
  readonly current: number
  /** Mean time of a statement, in milliseconds. */
  readonly meanMs: number
  /** Whether the mean is out of date, as no statement has run for a while. */
  readonly isMeanOutOfDate: boolean
  /**
   * Records the latency of a statement.
   *
   * @param latencyMs - its latency, in milliseconds
   */
  record: (latencyMs: number) => void
}

/** Options of {@link createConcurrencyLimit}. */
interface ConcurrencyLimitOptions {
  /** The limit to start with. */
  initial: number
  /** Greatest limit. */
  maximum: () => number
}

/**
 * Creates a limit.
 *
 * @param options - start and greatest value
 * @returns the limit
 */
export function createConcurrencyLimit ({ initial, maximum }: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = initial
  let mean = 0
  let fastest = Infinity
  let fastestOfWindow = Infinity
  let batchSum = 0
  let samples = 0
  let measuredAt = -Infinity
  const isMeanOutOfDate = (): boolean => performance.now() - measuredAt > MEAN_VALID_MS

  const measureFastest = (latencyMs: number): void => {
    batchSum += latencyMs
    samples++
    if (samples % BATCH_SAMPLES !== 0) {
      return
    }
    const batchMean = batchSum / BATCH_SAMPLES
    batchSum = 0
    fastestOfWindow = Math.min(fastestOfWindow, batchMean)
    fastest = Math.min(fastest, batchMean)
    if (samples === BATCH_SAMPLES * WINDOW_BATCHES) {
      fastest = fastestOfWindow
      fastestOfWindow = Infinity
      samples = 0
    }
  }

  return {
    get current () { return Math.max(1, Math.min(Math.floor(limit), maximum())) },
    get meanMs () { return mean },
    get isMeanOutOfDate () { return isMeanOutOfDate() },
    record: (latencyMs) => {
      measureFastest(latencyMs)
      mean = isMeanOutOfDate() ? latencyMs : mean + SAMPLE_WEIGHT * (latencyMs - mean)
      measuredAt = performance.now()
      const tolerated = fastest * TOLERATED_SLOWDOWN + TIMER_GRAIN_MS
      const gradient = Math.max(SMALLEST_GRADIENT, Math.min(1, tolerated / mean))
      const target = limit * gradient + Math.sqrt(limit) * SAMPLE_WEIGHT
      limit = Math.max(1, Math.min(maximum(), limit + SAMPLE_WEIGHT * (target - limit)))
    }
  }
}
