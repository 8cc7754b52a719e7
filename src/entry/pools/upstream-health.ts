/**
 * Health of one upstream as seen by this host. An upstream that fails, or a replica that lags, is avoided for a time
 * that doubles with each repetition until it answers or has caught up. The expected latency is a moving average that
 * decays towards the initial value, so that an upstream that was slow is tried again.
 */
import { laterPosition, type LogPosition } from '../../positions/position.ts'
import { OutcomeRecord } from './outcome-record.ts'
import type { UpstreamFault } from './types.ts'

/** Weight of a new sample in the moving average of the latency. */
const SAMPLE_WEIGHT = 0.2
/** Assumed latency of an upstream that has not been used yet, in milliseconds. */
const INITIAL_LATENCY_MS = 15
/** Time in which the excess over the initial latency halves while the upstream is not used, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 800
/** Bounds of the time for which a failed upstream is avoided, in milliseconds. */
const AVOIDANCE_MS = { initial: 250, maximum: 2000 } as const
/** Bounds of the time for which a lagging replica is avoided, in milliseconds. */
const LAG_AVOIDANCE_MS = { initial: 100, maximum: 800 } as const

/**
 * Time without an answer after which an upstream with pending requests counts as silent, in milliseconds; ten times an
 * ordinary statement.
 */
export const SILENCE_MS = 300

export interface UpstreamHealth {
  /** Time of the last answer, on the monotonic clock in milliseconds. */
  readonly lastAnswerAt: number
  /** Whether requests have been pending for {@link SILENCE_MS} without any answer. */
  readonly isSilent: boolean
  /** Time of the first failure since the last answer, on the monotonic clock; undefined if there was none. */
  readonly unreachableSince: number | undefined
  /** Whether reads should avoid the upstream because it failed. */
  readonly avoided: boolean
  /** Whether reads should avoid the upstream because it lags. */
  readonly lagging: boolean
  /** Expected duration of a statement, in milliseconds. */
  readonly latencyMs: number
  /** Recent outcomes of reads, by which the upstream is compared with its siblings. */
  readonly outcomes: OutcomeRecord
  /** Highest log position that any answer has carried. */
  readonly highestPosition: LogPosition | undefined
  /** Records the log position of an answer, which may be a refusal. */
  recordPosition: (position: LogPosition) => void
  recordAnswer: () => void
  recordRequestStart: () => void
  /** Records that a request has ended, with or without an answer. */
  recordRequestEnd: () => void
  /** Records the duration of a statement, in milliseconds. */
  recordLatency: (latencyMs: number) => void
  /** Records a fault. A broken connection is ignored, since it says nothing about the upstream. */
  recordFailure: (fault: UpstreamFault) => void
  /** Records that a request got no connection in time. The upstream is avoided briefly but not marked unreachable. */
  recordConnectionTimeout: () => void
  recordLag: () => void
  recordCaughtUp: () => void
}

/**
 * Creates the health record of an upstream.
 *
 * @returns a record that counts as healthy
 */
export function createUpstreamHealth (): UpstreamHealth {
  let lastAnswerAt = -Infinity
  let unreachableSince: number | undefined
  let pendingRequests = 0
  /** Start of the first pending request, or time of the last answer if that is later. */
  let waitingSince = -Infinity
  let avoidUntil = -Infinity
  let avoidMs: number = AVOIDANCE_MS.initial
  let lagUntil = -Infinity
  let lagMs: number = LAG_AVOIDANCE_MS.initial
  let latency = INITIAL_LATENCY_MS
  let measuredAt = -Infinity
  let highestPosition: LogPosition | undefined

  const decayedLatency = (): number => {
    const age = performance.now() - measuredAt
    const excess = Math.max(0, latency - INITIAL_LATENCY_MS)
    return latency - excess * (1 - 0.5 ** (age / LATENCY_HALF_LIFE_MS))
  }
  return {
    outcomes: new OutcomeRecord(),
    get lastAnswerAt () { return lastAnswerAt },
    get isSilent () { return pendingRequests > 0 && performance.now() - waitingSince >= SILENCE_MS },
    get unreachableSince () { return unreachableSince },
    get avoided () { return performance.now() < avoidUntil },
    get lagging () { return performance.now() < lagUntil },
    get latencyMs () { return decayedLatency() },
    get highestPosition () { return highestPosition },
    recordPosition: (position) => {
      highestPosition = highestPosition === undefined ? position : laterPosition(highestPosition, position)
    },
    recordAnswer: () => {
      lastAnswerAt = performance.now()
      waitingSince = lastAnswerAt
      unreachableSince = undefined
      avoidUntil = -Infinity
      avoidMs = AVOIDANCE_MS.initial
    },
    recordRequestStart: () => {
      waitingSince = pendingRequests === 0 ? performance.now() : waitingSince
      pendingRequests++
    },
    recordRequestEnd: () => { pendingRequests-- },
    recordLatency: (latencyMs) => {
      const before = decayedLatency()
      latency = before + SAMPLE_WEIGHT * (latencyMs - before)
      measuredAt = performance.now()
    },
    recordFailure: (fault) => {
      if (fault === 'broken') {
        return
      }
      unreachableSince ??= performance.now()
      avoidUntil = performance.now() + avoidMs
      avoidMs = Math.min(AVOIDANCE_MS.maximum, avoidMs * 2)
    },
    recordConnectionTimeout: () => { avoidUntil = Math.max(avoidUntil, performance.now() + AVOIDANCE_MS.initial) },
    recordLag: () => {
      lagUntil = performance.now() + lagMs
      lagMs = Math.min(LAG_AVOIDANCE_MS.maximum, lagMs * 2)
    },
    recordCaughtUp: () => {
      lagUntil = -Infinity
      lagMs = LAG_AVOIDANCE_MS.initial
    }
  }
}
