/**
 * Order of callers' requests while all hosts return after a loss of power. Each host then finds a request of about half
 * of its sessions at once, and needs several times the usual processor time for each, since its code runs cold. Served
 * together they would all be late. For the first {@link RETURN_MS} at most a few run at a time; the others wait by
 * priority, then those that can still be in time, then by the time at which they are due. One that can't be served in
 * its time is refused at once. Without such a load, and after that time, requests don't wait.
 */
import { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait, type BoundedWait } from '../../core/time/bounded-wait.ts'

/** Time after the first desired state for which requests are ordered, in milliseconds. */
export const RETURN_MS = 2000
/** Expected duration of a request before the first one has ended, in milliseconds; cold reads took 206 on average. */
const INITIAL_DURATION_MS = 200
/** Weight of the latest duration in the running mean. */
const SAMPLE_WEIGHT = 0.3
/** Minimum spread of retry delays, in milliseconds. */
const MINIMUM_SPREAD_MS = 100

/** A caller's request at the return. */
export interface ReturnRequest {
  group: string
  /** 0 is the most urgent. */
  priority: number
  /** Expected duration at the upstream, in milliseconds. */
  costMs: number
  /** Time left until the latency target, in milliseconds; negative once it has passed. */
  dueInMs: number
  /** Maximum wait, in milliseconds. */
  waitMs: number
  /** Maximum retry delay, in milliseconds: the caller's own time. */
  maximumRetryMs: number
}

/** Order of requests at the return. */
export interface ReturnQueue {
  /** Starts the time for which requests are ordered; further calls do nothing. */
  begin: () => void
  /** Whether requests are ordered now. */
  readonly isOrdering: boolean
  /**
   * Waits for a place.
   *
   * @param request - the request
   * @returns a function that frees the place, to be called once when the request has ended
   * @throws RequestError `Overloaded` with verdict `not-run`, at once or as soon as more urgent requests take its turn
   */
  enter: (request: ReturnRequest) => Promise<() => void>
  /** Ends the order; all that wait are served. */
  close: () => void
}

/** A request that waits for a place. */
interface WaitingRequest extends ReturnRequest {
  /** Time at which it is due, and until which it may wait, on the monotonic clock. */
  dueAt: number
  waitsUntil: number
  wait: BoundedWait<() => void>
}

/**
 * Compares two requests by the order in which they are served.
 *
 * @param left - a request
 * @param right - another one
 * @param durationMs - expected duration of a request, in milliseconds
 * @returns negative if the left one goes first
 */
function compareAtReturn (
  left: Pick<ReturnRequest, 'priority' | 'dueInMs'>, right: Pick<ReturnRequest, 'priority' | 'dueInMs'>,
  durationMs: number
): number {
  const isLate = ({ dueInMs }: Pick<ReturnRequest, 'dueInMs'>): number => dueInMs < durationMs ? 1 : 0
  return left.priority - right.priority || isLate(left) - isLate(right) || left.dueInMs - right.dueInMs
}

/**
 * Returns the retry delay of a refused request: after the requests before it, and spread over the time that all those
 * that wait will take.
 *
 * @param waitMs - expected wait of the request, in milliseconds
 * @param drainMs - time in which all that wait will be served, in milliseconds
 * @param maximumMs - maximum delay, in milliseconds
 * @returns the delay, in milliseconds
 */
export function spreadRetryMs (waitMs: number, drainMs: number, maximumMs: number): number {
  const spreadMs = Math.max(MINIMUM_SPREAD_MS, drainMs) * Math.random()
  return Math.max(1, Math.round(Math.min(maximumMs, waitMs + spreadMs)))
}

/** Requests that run, and how long they take. */
interface RunningRequests {
  /** Expected duration of a request, in milliseconds. */
  readonly meanMs: number
  /** Whether a group may run one more request. */
  hasPlace: (group: string) => boolean
  /** Takes a place; returns the function that frees it. */
  start: (group: string) => () => void
}

/** Creates the count of running requests; `onEnd` is called after each one has ended. */
function createRunningRequests (places: () => number, onEnd: () => void): RunningRequests {
  const byGroup = new Map<string, number>()
  let running = 0
  let meanMs = INITIAL_DURATION_MS
  const count = (group: string, change: number): void => {
    running += change
    byGroup.set(group, (byGroup.get(group) ?? 0) + change)
  }
  return {
    get meanMs () { return meanMs },
    hasPlace: (group) => running < places() && (byGroup.get(group) ?? 0) < Math.max(1, Math.ceil(places() / 2)),
    start: (group) => {
      const startedAt = performance.now()
      count(group, 1)
      return () => {
        count(group, -1)
        meanMs += SAMPLE_WEIGHT * (performance.now() - startedAt - meanMs)
        onEnd()
      }
    }
  }
}

/**
 * Creates the order.
 *
 * @param places - returns how many requests may run at a time; at most half of them for one group
 * @returns the order, which has not begun
 */
export function createReturnQueue (places: () => number): ReturnQueue {
  const waiting: WaitingRequest[] = []
  const running = createRunningRequests(places, () => serveWaiting())
  let endTimer: NodeJS.Timeout | undefined
  let hasBegun = false
  let isOrdering = false

  const mayStart = (group: string): boolean => !isOrdering || running.hasPlace(group)
  const sort = (): void => {
    const now = performance.now()
    waiting.forEach((request) => { request.dueInMs = request.dueAt - now })
    waiting.sort((left, right) => compareAtReturn(left, right, running.meanMs))
  }
  const serveWaiting = (): void => {
    sort()
    for (const request of [...waiting]) {
      if (mayStart(request.group)) {
        waiting.splice(waiting.indexOf(request), 1)
        request.wait.resolve(running.start(request.group))
      }
    }
  }
  const expectedWaitMs = (ahead: number): number => (ahead + 1) * running.meanMs / places()
  const refusal = ({ group, maximumRetryMs }: ReturnRequest, ahead: number): RequestError =>
    new RequestError('not-run', 'Overloaded', {
      group,
      reason: `${ahead} requests wait before it after a start`,
      retryAfterMs: spreadRetryMs(expectedWaitMs(ahead), expectedWaitMs(waiting.length), maximumRetryMs)
    })
  const removeRefused = (request: WaitingRequest): RequestError => {
    const index = waiting.indexOf(request)
    waiting.splice(index, 1)
    return refusal(request, index)
  }
  /** Refuses those that can't be served in their time any more, the last ones first. */
  const refuseLate = (): void => {
    const now = performance.now()
    waiting.map((request, index) => ({ request, ahead: index })).reverse()
      .filter(({ request, ahead }) => now + expectedWaitMs(ahead) > request.waitsUntil)
      .forEach(({ request }) => request.wait.reject(removeRefused(request)))
  }
  const addWaiting = (request: ReturnRequest): WaitingRequest => {
    const now = performance.now()
    const entry: WaitingRequest = {
      ...request,
      dueAt: now + request.dueInMs,
      waitsUntil: now + request.waitMs,
      wait: createBoundedWait<() => void>({ timeoutMs: request.waitMs, onTimeout: () => removeRefused(entry) })
    }
    waiting.push(entry)
    return entry
  }
  const end = (): void => {
    clearTimeout(endTimer)
    isOrdering = false
    serveWaiting()
  }
  return {
    get isOrdering () { return isOrdering },
    begin: () => {
      if (!hasBegun) {
        hasBegun = isOrdering = true
        endTimer = setTimeout(end, RETURN_MS)
      }
    },
    enter: async (request) => {
      if (mayStart(request.group) && !waiting.some(({ group }) => group === request.group)) {
        return running.start(request.group)
      }
      const { wait } = addWaiting(request)
      sort()
      refuseLate()
      return await wait.result
    },
    close: end
  }
}
