/**
 * Limits the statements that this host has in progress at an upstream. Further statements wait in the order of
 * `fair-order.ts`, since the upstream itself runs them in order of arrival. A statement whose expected wait exceeds its
 * maximum is refused at once, so that the caller can still try elsewhere.
 */
import { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait, type BoundedWait } from '../../core/time/bounded-wait.ts'
import { FairOrder, type QueuedStatement, type QueueRequest } from './fair-order.ts'

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

interface QueueLimits {
  /** Statements that the upstream runs concurrently. */
  slots: number
  /** Homes that share the upstream. */
  homes: number
}

/** Queue of statements for one upstream. */
export interface StatementQueue {
  readonly running: number
  readonly waiting: number
  /** Returns how long a statement would wait for the work ahead of it, in milliseconds; 0 while none waits. */
  waitFor: (request: QueueRequest) => number
  /**
   * Waits until the statement may be sent.
   *
   * @param request - organisation, priority, expected duration, maximum wait and target
   * @returns a function that frees the slot, to be called when the statement has ended; further calls do nothing
   * @throws RequestError `Overloaded` with verdict `not-run`: at once if the expected wait exceeds the maximum, with
   * the excess as `retryAfterMs`; or when the maximum wait has passed, with that wait as `retryAfterMs`
   */
  enter: (request: QueueRequest) => Promise<() => void>
}

/**
 * Estimates how long a statement waits for the work ahead of it, which runs in this host's part of the slots.
 *
 * @param aheadMs - expected duration of the statements ahead together, in milliseconds
 * @param limits - the upstream's slots and homes
 * @returns the expected wait, in milliseconds
 */
export function expectedWaitMs (aheadMs: number, { slots, homes }: QueueLimits): number {
  return aheadMs / Math.max(1, slots / Math.max(1, homes))
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
  const order = new FairOrder()
  const turns = new Map<QueuedStatement, BoundedWait<() => void>>()
  let running = 0
  let maximum = MINIMUM_IN_PROGRESS

  const overloadedError = (reason: string, retryAfterMs: number): RequestError =>
    new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs: Math.ceil(retryAfterMs) })
  const occupySlot = (): () => void => {
    let isFreed = false
    running++
    return () => {
      if (!isFreed) {
        isFreed = true
        running--
        startWaiting()
      }
    }
  }
  const startWaiting = (): void => {
    for (let free = maximum - running; free > 0 && order.count > 0; free--) {
      const next = order.takeNext()!
      const turn = turns.get(next)!
      turns.delete(next)
      turn.resolve(occupySlot())
    }
  }
  const waitForTurn = async (request: QueueRequest): Promise<() => void> => {
    const statement = order.add(request)
    const turn = createBoundedWait<() => void>({
      timeoutMs: request.waitMs,
      onTimeout: () => {
        order.remove(statement)
        turns.delete(statement)
        return overloadedError(`${upstream} was busy for ${Math.round(request.waitMs)} ms`, request.waitMs)
      }
    })
    turns.set(statement, turn)
    return await turn.result
  }
  return {
    get running () { return running },
    get waiting () { return order.count },
    waitFor: (request) => expectedWaitMs(order.aheadOf(request).costMs, options.limits()),
    enter: async (request) => {
      const limits = options.limits()
      maximum = maximumInProgress(limits)
      startWaiting()
      const ahead = order.aheadOf(request)
      const waitMs = expectedWaitMs(ahead.costMs, limits)
      if (waitMs > request.waitMs) {
        throw overloadedError(`${ahead.count} statements wait for ${upstream} before it`, waitMs - request.waitMs)
      }
      if (running < maximum) {
        order.charge(request)
        return occupySlot()
      }
      return await waitForTurn(request)
    }
  }
}

/** Returns how many statements a home may have in progress at an upstream. */
function maximumInProgress ({ slots, homes }: QueueLimits): number {
  return Math.max(MINIMUM_IN_PROGRESS, Math.ceil(slots * IN_PROGRESS_PER_SLOT / Math.max(1, homes)))
}
