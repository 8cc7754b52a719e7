/**
 * For how long reads go elsewhere after an upstream has failed or lagged, and how long a statement is expected to take
 * there. Owns what this host has seen of one upstream.
 *
 * Inputs: faults, lags and latencies (in milliseconds) as they are seen here. Rule: an upstream that did not answer is
 * avoided for {@link AVOID_MS}, a replica that lagged for {@link LAG_MS}, twice as long with each repetition until it
 * answers or has caught up; one to which a request got no connection in its time, for the first of {@link AVOID_MS}.
 * The expected time is a running mean, whose excess over that of an unused upstream halves with time, so that one which
 * was slow is tried again. A connection that breaks says nothing about the upstream.
 */
import { laterPosition, type LogPosition } from '../../positions/position.ts'
import type { UpstreamFault } from './types.ts'

/** Weight of a new latency in the running mean. */
const SAMPLE_WEIGHT = 0.2
/** Latency that is assumed of an upstream that has not been used yet, in milliseconds. */
const INITIAL_LATENCY_MS = 15
/** Time in which the memory of a high latency halves while the upstream is not used, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 800
/** First and greatest time for which an upstream that failed is avoided, in milliseconds; it doubles in between. */
const AVOID_MS = { first: 250, greatest: 2000 } as const
/** First and greatest time for which a replica that lagged is avoided, in milliseconds; it doubles in between. */
const LAG_MS = { first: 100, greatest: 800 } as const

/**
 * Time without any answer from which an upstream that was asked something counts as silent, in milliseconds: ten times
 * an ordinary statement.
 */
export const SILENCE_MS = 300

/** Health of one upstream as this host sees it. */
export interface UpstreamHealth {
  /** When it last answered anything, on the steady clock. */
  readonly lastAnswerAt: number
  /** Whether it has answered nothing for {@link SILENCE_MS} although something was asked all that time. */
  readonly isSilent: boolean
  /** Since when it has not answered although it was asked; undefined while it answers. */
  readonly unreachableSince: number | undefined
  /** Whether reads should go elsewhere because it failed. */
  readonly avoided: boolean
  /** Whether reads should go elsewhere because it lagged. */
  readonly lagging: boolean
  /** Expected time of a statement, in milliseconds. */
  readonly latencyMs: number
  /** Furthest position of its log that any answer has carried. */
  readonly highestPosition: LogPosition | undefined
  /** Records the position of an answer, a refusal's too. */
  recordPosition: (position: LogPosition) => void
  recordAnswer: () => void
  /** Records that it was asked something. */
  recordRequestStart: () => void
  /** Records that a question has ended, with or without an answer. */
  recordRequestEnd: () => void
  /** Records the time of a statement, in milliseconds. */
  recordLatency: (latencyMs: number) => void
  recordFailure: (fault: UpstreamFault) => void
  /** Records that it could not be reached in the time of a request, which says less than a failure. */
  recordConnectionTimeout: () => void
  recordLag: () => void
  recordCaughtUp: () => void
}

/**
 * Creates the health of an upstream; it counts as healthy until something else is seen.
 *
 * @returns the health
 */
export function createUpstreamHealth (): UpstreamHealth {
  let lastAnswerAt = -Infinity
  let unreachableSince: number | undefined
  let questions = 0
  /** When the first of the questions in progress was asked, or an answer came since. */
  let awaitedSince = -Infinity
  let avoidUntil = -Infinity
  let avoidMs: number = AVOID_MS.first
  let lagUntil = -Infinity
  let lagMs: number = LAG_MS.first
  let latency = INITIAL_LATENCY_MS
  let measuredAt = -Infinity
  let reached: LogPosition | undefined

  const decayed = (): number => {
    const age = performance.now() - measuredAt
    const excess = Math.max(0, latency - INITIAL_LATENCY_MS)
    return latency - excess * (1 - 0.5 ** (age / LATENCY_HALF_LIFE_MS))
  }
  return {
    get lastAnswerAt () { return lastAnswerAt },
    get isSilent () { return questions > 0 && performance.now() - awaitedSince >= SILENCE_MS },
    get unreachableSince () { return unreachableSince },
    get avoided () { return performance.now() < avoidUntil },
    get lagging () { return performance.now() < lagUntil },
    get latencyMs () { return decayed() },
    get highestPosition () { return reached },
    recordPosition: (position) => { reached = reached === undefined ? position : laterPosition(reached, position) },
    recordAnswer: () => {
      lastAnswerAt = performance.now()
      awaitedSince = lastAnswerAt
      unreachableSince = undefined
      avoidUntil = -Infinity
      avoidMs = AVOID_MS.first
    },
    recordRequestStart: () => {
      awaitedSince = questions === 0 ? performance.now() : awaitedSince
      questions++
    },
    recordRequestEnd: () => { questions-- },
    recordLatency: (latencyMs) => {
      const before = decayed()
      latency = before + SAMPLE_WEIGHT * (latencyMs - before)
      measuredAt = performance.now()
    },
    recordFailure: (fault) => {
      if (fault === 'broken') {
        return
      }
      unreachableSince ??= performance.now()
      avoidUntil = performance.now() + avoidMs
      avoidMs = Math.min(AVOID_MS.greatest, avoidMs * 2)
    },
    recordConnectionTimeout: () => { avoidUntil = Math.max(avoidUntil, performance.now() + AVOID_MS.first) },
    recordLag: () => {
      lagUntil = performance.now() + lagMs
      lagMs = Math.min(LAG_MS.greatest, lagMs * 2)
    },
    recordCaughtUp: () => {
      lagUntil = -Infinity
      lagMs = LAG_MS.first
    }
  }
}
