/**
 * How many statements to have in progress on an upstream. The limit follows measured latency: while statements take
 * about as long as the fastest recent ones, it grows; when they take longer, they queue at the upstream and it shrinks.
 */

/** Weight of a new sample in the running mean. */
const SAMPLE_WEIGHT = 0.1
/** Statements after which the fastest latency is measured anew. */
const WINDOW_SAMPLES = 500
/** Queueing at the upstream, as a multiple of the fastest latency, that is accepted. */
const TOLERATED_SLOWDOWN = 1.5
/** Least change of the mean latency that is taken for queueing, in milliseconds. */
const TIMER_GRAIN_MS = 1
/** Most the limit shrinks by in one step. */
const SMALLEST_GRADIENT = 0.5

/** Follows latency and says how much may be in progress. */
export interface ConcurrencyLimit {
  /** Statements that may be in progress now. */
  readonly current: number
  /** Mean time of a statement, in milliseconds. */
  readonly meanMs: number
  /**
   * Takes the latency of a statement.
   *
   * @param latencyMs - its latency, in milliseconds
   */
  record: (latencyMs: number) => void
}

/** Options of {@link createConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
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
  let samples = 0

  const measureFastest = (latencyMs: number): void => {
    fastestOfWindow = Math.min(fastestOfWindow, latencyMs)
    fastest = Math.min(fastest, latencyMs)
    samples++
    if (samples >= WINDOW_SAMPLES) {
      fastest = fastestOfWindow
      fastestOfWindow = Infinity
      samples = 0
    }
  }

  return {
    get current () { return Math.max(1, Math.min(Math.floor(limit), maximum())) },
    get meanMs () { return mean },
    record: (latencyMs) => {
      measureFastest(latencyMs)
      mean = mean === 0 ? latencyMs : mean + SAMPLE_WEIGHT * (latencyMs - mean)
      const tolerated = fastest * TOLERATED_SLOWDOWN + TIMER_GRAIN_MS
      const gradient = Math.max(SMALLEST_GRADIENT, Math.min(1, tolerated / mean))
      const target = limit * gradient + Math.sqrt(limit) * SAMPLE_WEIGHT
      limit = Math.max(1, Math.min(maximum(), limit + SAMPLE_WEIGHT * (target - limit)))
    }
  }
}
