/**
 * Judges the upstreams of a group by comparison with each other. Designed for upstreams that are several times slower
 * than their siblings, or fail a part of their reads, while their probes succeed.
 *
 * An outlier is avoided by reads, but remains the last choice: it is ranked behind the others and never excluded.
 * Where all upstreams are equally slow or failing, none differs from its siblings and none is avoided.
 */
import type { OutcomeRecord } from './outcome-record.ts'

/** Slowness, relative to the median of the siblings, from which on and until which an upstream is avoided. */
const SLOW = { from: 3, until: 2 } as const
/** Failed part of the reads from which on an upstream is avoided, and until which it stays so. */
const FAILING = { from: 0.2, until: 0.1 } as const
/** The failed part must be so many times that of the siblings; otherwise the statements are the likely cause. */
const FAILING_RATIO = 3
/** Least weight of recent outcomes for a judgement; two failures or three slow reads within a second are enough. */
const MINIMUM_WEIGHT = { reads: 2.4, failures: 1.5, siblings: 0.5, kept: 0.25 } as const
/**
 * An avoided upstream is tried with one of so many reads of its group, at most once in the interval (milliseconds). A
 * fixed interval alone would give it most of its usual reads from many hosts that each send few.
 */
const TRIAL = { reads: 12, minimumIntervalMs: 1000 } as const
/** Least time between two reports of an upstream, in milliseconds. */
const REPORT_INTERVAL_MS = 1000

/** An upstream of a group. */
export interface JudgedUpstream {
  upstream: string
  outcomes: OutcomeRecord
}

/** Judgement of an upstream, and what it is based on. */
export interface OutlierReport {
  upstream: string
  avoided: boolean
  /** Geometric mean of the durations divided by the expected ones. */
  slowness: number
  /** Part of the reads that failed, from 0 to 1. */
  failedPart: number
  /** Median of the slowness of the others. */
  siblingsSlowness: number
  /** Mean of the failed part of the others. */
  siblingsFailedPart: number
}

/** State of one upstream. */
interface Judged {
  avoided: boolean
  reported: boolean
  reportedAt: number
  /** Reads of the group since the last trial. */
  readsSinceTrial: number
  triedAt: number
}

/** Judges the upstreams of one group. Holds no timers; memory grows with the number of upstreams only. */
export class OutlierDetector {
  private readonly judged = new Map<string, Judged>()

  /** @param onChange - receives changes, at most once per second for each upstream */
  constructor (private readonly onChange: (report: OutlierReport) => void) {}

  /**
   * Judges the upstreams of the group for one read.
   *
   * @param upstreams - all upstreams of the group
   * @returns those that the read should avoid; one whose trial is due is left out
   */
  avoidedBy (upstreams: readonly JudgedUpstream[]): ReadonlySet<string> {
    let avoided: Set<string> | undefined
    for (const subject of upstreams) {
      const state = this.stateOf(subject.upstream)
      const report = judge(subject, upstreams, state.avoided)
      if (report.avoided && !state.avoided) {
        // The reads that showed the outlier have just tried it, so the first trial comes after an interval.
        state.triedAt = performance.now()
        state.readsSinceTrial = 0
      }
      state.avoided = report.avoided
      this.reportChange(state, report)
      if (report.avoided && !takeTrial(state)) {
        avoided ??= new Set()
        avoided.add(subject.upstream)
      }
    }
    return avoided ?? NONE
  }

  /** Drops the state of an upstream. */
  forget (upstream: string): void {
    this.judged.delete(upstream)
  }

  private stateOf (upstream: string): Judged {
    let state = this.judged.get(upstream)
    if (state === undefined) {
      state = { avoided: false, reported: false, reportedAt: -Infinity, readsSinceTrial: 0, triedAt: -Infinity }
      this.judged.set(upstream, state)
    }
    return state
  }

  private reportChange (state: Judged, report: OutlierReport): void {
    const now = performance.now()
    if (state.reported === report.avoided || now - state.reportedAt < REPORT_INTERVAL_MS) {
      return
    }
    state.reported = report.avoided
    state.reportedAt = now
    this.onChange(report)
  }
}

const NONE: ReadonlySet<string> = new Set()

/** Whether an avoided upstream is to be tried with this read. */
function takeTrial (state: Judged): boolean {
  state.readsSinceTrial++
  const now = performance.now()
  if (state.readsSinceTrial < TRIAL.reads || now - state.triedAt < TRIAL.minimumIntervalMs) {
    return false
  }
  state.readsSinceTrial = 0
  state.triedAt = now
  return true
}

/** Compares an upstream with the others that have recent outcomes. */
function judge (
  { upstream, outcomes }: JudgedUpstream, upstreams: readonly JudgedUpstream[], wasAvoided: boolean
): OutlierReport {
  const { slowness, failedPart } = outcomes
  const report = { upstream, avoided: false, slowness, failedPart, siblingsSlowness: 1, siblingsFailedPart: 0 }
  if (outcomes.weight < (wasAvoided ? MINIMUM_WEIGHT.kept : MINIMUM_WEIGHT.failures)) {
    return report
  }
  const others = upstreams.filter((other) => other.upstream !== upstream &&
    other.outcomes.weight >= MINIMUM_WEIGHT.siblings)
  const timed = others.filter((other) => other.outcomes.timedWeight >= MINIMUM_WEIGHT.siblings)
  report.siblingsSlowness = medianOf(timed.map((other) => other.outcomes.slowness))
  const failedParts = others.reduce((sum, other) => sum + other.outcomes.failedPart, 0)
  report.siblingsFailedPart = failedParts / Math.max(1, others.length)
  const isSlow = timed.length > 0 && outcomes.timedWeight >= (wasAvoided ? 0 : MINIMUM_WEIGHT.reads) &&
    slowness >= report.siblingsSlowness * (wasAvoided ? SLOW.until : SLOW.from)
  const isFailing = others.length > 0 && outcomes.failureWeight >= (wasAvoided ? 0 : MINIMUM_WEIGHT.failures) &&
    failedPart >= (wasAvoided ? FAILING.until : FAILING.from) &&
    failedPart >= report.siblingsFailedPart * FAILING_RATIO
  report.avoided = isSlow || isFailing
  return report
}

/** Returns the median; of an even number of values, the geometric mean of the two in the middle. */
function medianOf (values: number[]): number {
  if (values.length === 0) {
    return 1
  }
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  return values.length % 2 === 1 ? values[middle]! : Math.sqrt(values[middle - 1]! * values[middle]!)
}
