/**
 * Limits the statements that this host has in progress at an upstream. Further statements wait by priority, then by
 * expected duration, since the upstream itself runs them in order of arrival. A statement whose expected wait exceeds
 * its maximum is refused at once, so that the caller can still try elsewhere.
 */
import PQueue from 'p-queue'
import { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait } from '../../core/time/bounded-wait.ts'

/**
 * Statements in progress per slot of an upstream. While one runs, the next is already in transit, so that the slot
 * isn't idle for a network round trip.
 */
export const IN_PROGRESS_PER_SLOT = 2
/**
 * Minimum number of statements that a home may have in progress. With one, statements would wait at a busy home while
 * other homes leave their slots unused.
 */
const MINIMUM_IN_PROGRESS = 2
/** Weight of one priority level in a rank, in milliseconds. It exceeds any duration, so priority decides first. */
const PRIORITY_WEIGHT_MS = 1_000_000

interface QueueLimits {
  /** Statements that the upstream runs concurrently. */
  slots: number
  /** Homes that share the upstream. */
  homes: number
}

interface QueueRequest {
  /** Lower values run first. */
  priority: number
  /** Expected duration of the statement at the upstream, in milliseconds. */
  costMs: number
  /** Maximum wait, in milliseconds. */
  waitMs: number
}

/** Queue of statements for one upstream. */
export interface StatementQueue {
  readonly running: number
  readonly waiting: number
  /**
   * Waits until the statement may be sent.
   *
   * @param request - priority, expected duration and maximum wait
   * @returns a function that frees the slot, to be called when the statement has ended; further calls do nothing
   * @throws RequestError `Overloaded` with verdict `not-run`: at once if the expected wait exceeds the maximum, with
   * the excess as `retryAfterMs`; or when the maximum wait has passed, with that wait as `retryAfterMs`
   */
  enter: (request: QueueRequest) => Promise<() => void>
}

interface WaitingStatement {
  rank: number
  costMs: number
}

/**
 * Estimates how long a statement waits for the statements ahead of it, which run in this host's part of the slots.
 *
 * @param ahead - expected durations of the statements ahead, in milliseconds
 * @param limits - the upstream's slots and homes
 * @returns the expected wait, in milliseconds
 */
export function expectedWaitMs (ahead: number[], { slots, homes }: QueueLimits): number {
  const hostSlots = Math.max(1, slots / Math.max(1, homes))
  return ahead.reduce((sum, costMs) => sum + costMs, 0) / hostSlots
}

/**
 * Creates the statement queue of an upstream.
 *
 * @param options - names of the upstream and its group; `limits` is evaluated for each statement
 * @returns an empty queue
 */
export function createStatementQueue (
  options: { group: string, upstream: string, limits: () => QueueLimits }
): StatementQueue {
  const { group, upstream } = options
  const queue = new PQueue({ concurrency: 1 })
  const waiting = new Set<WaitingStatement>()

  const overloadedError = (reason: string, retryAfterMs: number): RequestError =>
    new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs: Math.ceil(retryAfterMs) })
  const waitForTurn = async (request: QueueRequest, statement: WaitingStatement): Promise<() => void> => {
    const turn = createBoundedWait<() => void>({
      timeoutMs: request.waitMs,
      onTimeout: () => {
        waiting.delete(statement)
        return overloadedError(`${upstream} was busy for ${Math.round(request.waitMs)} ms`, request.waitMs)
      }
    })
    void queue.add(async () => {
      if (turn.isSettled) {
        return
      }
      waiting.delete(statement)
      await new Promise<void>((resolve) => turn.resolve(resolve))
    }, { priority: -statement.rank })
    return await turn.result
  }
  return {
    get running () { return queue.pending },
    get waiting () { return waiting.size },
    enter: async (request) => {
      const limits = options.limits()
      queue.concurrency = maximumInProgress(limits)
      const statement = { rank: rankFor(request), costMs: request.costMs }
      const ahead = [...waiting].filter(({ rank }) => rank <= statement.rank).map(({ costMs }) => costMs)
      const waitMs = expectedWaitMs(ahead, limits)
      if (waitMs > request.waitMs) {
        throw overloadedError(`${ahead.length} statements wait for ${upstream} before it`, waitMs - request.waitMs)
      }
      waiting.add(statement)
      return await waitForTurn(request, statement)
    }
  }
}

/** Returns how many statements a home may have in progress at an upstream. */
function maximumInProgress ({ slots, homes }: QueueLimits): number {
  return Math.max(MINIMUM_IN_PROGRESS, Math.ceil(slots * IN_PROGRESS_PER_SLOT / Math.max(1, homes)))
}

/** Computes the sort key of a statement; lower ranks run first. */
function rankFor ({ priority, costMs }: QueueRequest): number {
  return priority * PRIORITY_WEIGHT_MS + costMs
}
