/**
 * Rule: which request is refused at once by a home's pool, and what does Retry-After say?
 *
 * Inputs: the requests that wait, the bound of the queue (`limits.queue`), the mean latency of the upstream (ms), the
 * statements that run at a time, and the time left to the request (ms).
 *
 * - A request is refused when the queue is full, or when it would queue for more than half of its time: what starts too
 *   late would be cut off in the middle. The first in the queue is always admitted.
 * - When its turn comes it is not started with less than twice the mean latency left.
 * - A refused caller should come back when the queue, with its request, is expected to be done.
 */

/** Longest time after which a caller should come back, in milliseconds. */
const MAXIMUM_RETRY_AFTER_MS = 1000
/** Least time after which a caller should come back, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 1
/** Latency assumed before one is measured, in milliseconds. */
const FIRST_GUESS_MS = 1
/** Part of its time that a request may expect to queue; the rest is for running it. */
const QUEUEING_SHARE = 0.5
/** Times the mean latency that must be left when a request starts. */
const TIME_TO_RUN = 2

/** How fast a queue moves. */
interface QueuePace {
  /** Mean latency of a statement, in milliseconds; 0 before one is measured. */
  meanMs: number
  /** Statements that run at a time. */
  concurrency: number
}

/** A request before the queue. */
interface QueueingRequest extends QueuePace {
  /** Name of the upstream, for the message. */
  upstream: string
  /** Requests that wait. */
  waiting: number
  /** Requests that may wait. */
  bound: number
  /** Time left to the request, in milliseconds. */
  leftMs: number
}

/**
 * Finds out why a request is refused before it queues.
 *
 * @param request - the request and the queue
 * @returns the reason; undefined when it may queue
 */
export function findRefusal (request: QueueingRequest): string | undefined {
  const { upstream, waiting, bound, leftMs } = request
  if (waiting >= bound) {
    return `${waiting} requests wait for ${upstream} already`
  }
  if (waiting > 0 && expectedWaitMs(waiting, request) > leftMs * QUEUEING_SHARE) {
    return `the queue for ${upstream} is too long for the deadline`
  }
  return undefined
}

/**
 * Decides whether too little time is left to start a request.
 *
 * @param leftMs - time left, in milliseconds
 * @param meanMs - mean latency, in milliseconds
 * @returns whether it is too little
 */
export function isTooLateToStart (leftMs: number, meanMs: number): boolean {
  return leftMs < meanMs * TIME_TO_RUN
}

/**
 * Computes when a refused caller should come back.
 *
 * @param waiting - requests that wait
 * @param pace - how fast the queue moves
 * @returns the time until then, in milliseconds
 */
export function retryAfterMs (waiting: number, pace: QueuePace): number {
  const expectedMs = Math.ceil(expectedWaitMs(waiting + 1, pace))
  return Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(MAXIMUM_RETRY_AFTER_MS, expectedMs))
}

function expectedWaitMs (waiting: number, { meanMs, concurrency }: QueuePace): number {
  return (waiting * (meanMs || FIRST_GUESS_MS)) / Math.max(1, concurrency)
}
