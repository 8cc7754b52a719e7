/**
 * Whose turn it is at an upstream, and which request is refused at once with which Retry-After.
 *
 * Inputs: the upstream's slots (statements that it runs at a time) and its homes; of each statement its priority (0
 * goes first), its expected time at the upstream and its greatest wait, both in milliseconds.
 * Rule: a home lets its part of {@link IN_PROGRESS_PER_SLOT} statements for each slot go to the upstream, and
 * {@link LEAST_IN_PROGRESS} at least; the others wait here by priority, then by expected time. A request whose expected
 * wait is longer than its greatest wait is refused at once, with the difference as the time after which to come back;
 * one that has waited for its greatest wait is refused with that time.
 * Why: an upstream runs what it gets in the order of arrival. With more work than it can do, more callers are served in
 * time when short statements go first, and a request that cannot be served in time may still be served elsewhere.
 */
import PQueue from 'p-queue'
import { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait } from '../../core/time/bounded-wait.ts'

/**
 * Statements in progress at an upstream for each that it can run at a time: with less, a slot would be idle while an
 * answer and the next statement are on their way: one that runs and one on its way.
 */
const IN_PROGRESS_PER_SLOT = 2
/**
 * Statements that each home may have in progress at least: with one, what comes to a home waits there while another
 * home has nothing to send.
 */
const LEAST_IN_PROGRESS = 2
/**
 * Weight of a step of priority against the expected time of a statement, in milliseconds: longer than any statement, so
 * that priority goes first.
 */
const PRIORITY_WEIGHT_MS = 1_000_000

/** What bounds the statements in progress. */
interface QueueLimits {
  /** Statements that the upstream runs at a time. */
  slots: number
  /** Hosts that share it. */
  homes: number
}

/** A statement that is to run. */
interface QueueRequest {
  /** 0 goes first. */
  priority: number
  /** Expected time of the statement at the upstream, in milliseconds. */
  costMs: number
  /** Greatest wait, in milliseconds. */
  waitMs: number
}

/** Statements that wait for one upstream. */
export interface StatementQueue {
  readonly running: number
  readonly waiting: number
  /**
   * Waits for its turn.
   *
   * @param request - urgency, expected time and greatest wait
   * @returns to be called when the statement has ended; calling it again does nothing
   * @throws RequestError `Overloaded` with verdict `not-run`, at once when the wait is expected to be too long
   */
  enter: (request: QueueRequest) => Promise<() => void>
}

/** A statement that waits. */
interface WaitingStatement {
  rank: number
  costMs: number
}

/**
 * Says how long a statement is expected to wait: for all that goes before it, shared by this host's part of the slots.
 *
 * @param before - expected times of what goes before it, in milliseconds
 * @param limits - the upstream's slots and the hosts that share them
 * @returns the time, in milliseconds
 */
export function expectedWaitMs (before: number[], { slots, homes }: QueueLimits): number {
  const own = Math.max(1, slots / Math.max(1, homes))
  return before.reduce((sum, costMs) => sum + costMs, 0) / own
}

/**
 * Creates the queue of an upstream.
 *
 * @param options - the upstream, its group and the limits, evaluated at each entry
 * @returns the queue; nothing waits yet
 */
export function createStatementQueue (
  options: { group: string, upstream: string, limits: () => QueueLimits }
): StatementQueue {
  const { group, upstream } = options
  const queue = new PQueue({ concurrency: 1 })
  const waiting = new Set<WaitingStatement>()

  const overloaded = (reason: string, retryAfterMs: number): RequestError =>
    new RequestError('not-run', 'Overloaded', { group, reason, retryAfterMs: Math.ceil(retryAfterMs) })
  const waitForTurn = async (request: QueueRequest, own: WaitingStatement): Promise<() => void> => {
    const turn = createBoundedWait<() => void>({
      timeoutMs: request.waitMs,
      onTimeout: () => {
        waiting.delete(own)
        return overloaded(`${upstream} was busy for ${Math.round(request.waitMs)} ms`, request.waitMs)
      }
    })
    void queue.add(async () => {
      if (turn.isSettled) {
        return
      }
      waiting.delete(own)
      await new Promise<void>((_resolve) => turn.resolve(_resolve))
    }, { priority: -own.rank })
    return await turn.result
  }
  return {
    get running () { return queue.pending },
    get waiting () { return waiting.size },
    enter: async (request) => {
      const limits = options.limits()
      queue.concurrency = inProgressOf(limits)
      const own = { rank: rankOf(request), costMs: request.costMs }
      const before = [...waiting].filter(({ rank }) => rank <= own.rank).map(({ costMs }) => costMs)
      const waitMs = expectedWaitMs(before, limits)
      if (waitMs > request.waitMs) {
        throw overloaded(`${before.length} statements wait for ${upstream} before it`, waitMs - request.waitMs)
      }
      waiting.add(own)
      return await waitForTurn(request, own)
    }
  }
}

/** Statements that a home may have in progress at an upstream. */
function inProgressOf ({ slots, homes }: QueueLimits): number {
  return Math.max(LEAST_IN_PROGRESS, Math.ceil(slots * IN_PROGRESS_PER_SLOT / Math.max(1, homes)))
}

/** The lower, the earlier. */
function rankOf ({ priority, costMs }: QueueRequest): number {
  return priority * PRIORITY_WEIGHT_MS + costMs
}
