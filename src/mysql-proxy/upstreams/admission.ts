/**
 * Admission control of a connection pool. A request is refused when the queue is full, or when its expected queueing
 * time exceeds half of its remaining time. A request whose turn comes with less than twice the mean latency left is
 * not started.
 */

/** Upper bound of the retry delay sent to refused callers, in milliseconds. */
const MAXIMUM_RETRY_AFTER_MS = 1000
/** Lower bound of the retry delay sent to refused callers, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 1
/** Latency assumed until the first statement has completed, in milliseconds. */
const DEFAULT_LATENCY_MS = 1
/** Fraction of its remaining time that a request may spend in the queue. */
const MAXIMUM_QUEUEING_FRACTION = 0.5
/** Remaining time required to start a request, as a multiple of the mean latency. */
const MINIMUM_REMAINING_LATENCIES = 2

/** Latency and concurrency of a queue's statements, from which its queueing time is estimated. */
interface QueueThroughput {
  /** Mean latency of a statement, in milliseconds; 0 until the first statement has completed. */
  meanMs: number
  /** Statements that may run concurrently. */
  concurrency: number
}

/** A request that asks for admission to the queue. */
interface AdmissionRequest extends QueueThroughput {
  /** Name of the upstream, for the refusal's reason. */
  upstream: string
  /** Requests in the queue. */
  waiting: number
  /** Maximum number of requests in the queue. */
  capacity: number
  /** Time until the request's deadline, in milliseconds. */
  remainingMs: number
}

/**
 * Returns why a request must be refused. A request that finds the queue empty is always admitted.
 *
 * @param request - the request and the state of the queue
 * @returns the reason; undefined when the request is admitted
 */
export function findRefusalReason (request: AdmissionRequest): string | undefined {
  const { upstream, waiting, capacity, remainingMs } = request
  if (waiting >= capacity) {
    return `${waiting} requests wait for ${upstream} already`
  }
  if (waiting > 0 && expectedWaitMs(waiting, request) > remainingMs * MAXIMUM_QUEUEING_FRACTION) {
    return `the queue for ${upstream} is too long for the deadline`
  }
  return undefined
}

/**
 * Checks whether a request would probably exceed its deadline if it were started.
 *
 * @param remainingMs - time until the deadline, in milliseconds
 * @param meanMs - mean latency of a statement, in milliseconds
 * @returns whether too little time remains
 */
export function isTooLateToStart (remainingMs: number, meanMs: number): boolean {
  return remainingMs < meanMs * MINIMUM_REMAINING_LATENCIES
}

/**
 * Estimates when the queue, including the refused request, would have been processed.
 *
 * @param waiting - requests in the queue
 * @param throughput - latency and concurrency of the queue
 * @returns the delay after which the caller should retry, 1 to 1000 ms
 */
export function retryAfterMs (waiting: number, throughput: QueueThroughput): number {
  const expectedMs = Math.ceil(expectedWaitMs(waiting + 1, throughput))
  return Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(MAXIMUM_RETRY_AFTER_MS, expectedMs))
}

function expectedWaitMs (waiting: number, { meanMs, concurrency }: QueueThroughput): number {
  return (waiting * (meanMs || DEFAULT_LATENCY_MS)) / Math.max(1, concurrency)
}
