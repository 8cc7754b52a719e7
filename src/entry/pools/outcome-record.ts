/**
 * Recent outcomes of reads at one upstream. Weights decay, so that an upstream which has changed is seen within
 * seconds. Durations are taken relative to the expected one, since upstreams run different kinds of statements, and
 * averaged as logarithms: a host with a small processor share sees single delays of 100 ms, which would dominate an
 * arithmetic mean of few samples.
 */

/** Time in which the weight of an outcome halves, in milliseconds. A host sees 1 to 3 reads of an upstream a second. */
const OUTCOME_HALF_LIFE_MS = 3000
/** Least expected duration, in milliseconds; below it the network and the own processor determine the duration. */
const MINIMUM_COST_MS = 4

/** Outcome of a read at an upstream. */
export interface ReadOutcome {
  /** Time that the upstream took, in milliseconds; 0 if unknown. */
  ranMs: number
  /** Expected time, in milliseconds. */
  costMs: number
  /** Whether the upstream failed to run it. */
  failed: boolean
}

/** Recent outcomes of reads at one upstream. Holds no timers. */
export class OutcomeRecord {
  private count = 0
  private failures = 0
  private timed = 0
  private logarithms = 0
  private updatedAt = -Infinity

  /** Number of recent reads, decayed. */
  get weight (): number {
    return this.count * this.decay()
  }

  /** Number of recent reads whose duration is known, decayed. */
  get timedWeight (): number {
    return this.timed * this.decay()
  }

  /** Number of recent failures, decayed. */
  get failureWeight (): number {
    return this.failures * this.decay()
  }

  /** Part of the reads that failed, from 0 to 1. */
  get failedPart (): number {
    return this.count === 0 ? 0 : this.failures / this.count
  }

  /** Geometric mean of the duration divided by the expected one; 1 without any. */
  get slowness (): number {
    return this.timed === 0 ? 1 : Math.exp(this.logarithms / this.timed)
  }

  /**
   * Records an outcome. The duration of a failure is ignored, since it says nothing about other reads.
   *
   * @param outcome - the outcome
   */
  record ({ ranMs, costMs, failed }: ReadOutcome): void {
    const factor = this.decay()
    this.updatedAt = performance.now()
    const isTimed = !failed && ranMs > 0
    this.count = this.count * factor + 1
    this.failures = this.failures * factor + (failed ? 1 : 0)
    this.timed = this.timed * factor + (isTimed ? 1 : 0)
    this.logarithms = this.logarithms * factor +
      (isTimed ? Math.log(Math.max(ranMs, MINIMUM_COST_MS) / Math.max(costMs, MINIMUM_COST_MS)) : 0)
  }

  /** Returns the factor by which weights have decayed since the last outcome. */
  private decay (): number {
    return 0.5 ** ((performance.now() - this.updatedAt) / OUTCOME_HALF_LIFE_MS)
  }
}
