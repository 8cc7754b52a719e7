/** Requests that wait until the status of an upstream satisfies a condition. */
import type { Deadline } from '../../core/time/deadline.ts'
import type { UpstreamStatus } from './status.ts'

/** Condition on an upstream's status. */
export type StatusCondition = (status: UpstreamStatus) => boolean

/** One waiting request. */
interface Waiter<Observed> {
  condition: StatusCondition
  resolve: (observed: Observed | undefined) => void
}

/** Set of requests that wait for a status. */
interface StatusWaiters<Observed> {
  /** Number of waiting requests. */
  readonly size: number
  /**
   * Waits until a status satisfies a condition.
   *
   * @param condition - the condition
   * @param deadline - limits the wait
   * @returns the status; undefined when the deadline passed or the waiters were closed
   */
  wait: (condition: StatusCondition, deadline: Deadline) => Promise<Observed | undefined>
  /** Resolves the requests whose condition the new status satisfies. */
  notify: (observed: Observed) => void
  /** Resolves all waiting requests with undefined. */
  close: () => void
}

/**
 * Creates an empty set.
 *
 * @returns the set
 */
export function createStatusWaiters<Observed extends { status: UpstreamStatus }> (): StatusWaiters<Observed> {
  const waiters = new Set<Waiter<Observed>>()
  return {
    get size () { return waiters.size },
    wait: async (condition, deadline) => await new Promise<Observed | undefined>((resolve) => {
      const waiter: Waiter<Observed> = {
        condition,
        resolve: (observed) => {
          clearTimeout(timer)
          resolve(observed)
        }
      }
      const timer = setTimeout(() => {
        waiters.delete(waiter)
        resolve(undefined)
      }, deadline.leftMs)
      waiters.add(waiter)
    }),
    notify: (observed) => {
      for (const waiter of waiters) {
        if (waiter.condition(observed.status)) {
          waiters.delete(waiter)
          waiter.resolve(observed)
        }
      }
    },
    close: () => {
      waiters.forEach((waiter) => waiter.resolve(undefined))
      waiters.clear()
    }
  }
}
