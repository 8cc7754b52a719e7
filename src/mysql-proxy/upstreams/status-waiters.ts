/** Requests that wait until a status of an upstream satisfies their condition. Owns the waiting requests. */
import type { Deadline } from '../../core/time/deadline.ts'
import type { UpstreamStatus } from './status.ts'

/** A condition on a status. */
export type StatusCondition = (status: UpstreamStatus) => boolean

/** A waiting request. */
interface Waiter<Observed> {
  condition: StatusCondition
  resolve: (observed: Observed | undefined) => void
}

/** Waiting requests. */
interface StatusWaiters<Observed> {
  /** Number of requests that wait. */
  readonly size: number
  /**
   * Waits until a status satisfies a condition.
   *
   * @param condition - the condition
   * @param deadline - when to give up
   * @returns the status; undefined when the deadline passed or the waiters were closed
   */
  wait: (condition: StatusCondition, deadline: Deadline) => Promise<Observed | undefined>
  /** Lets those go on whose condition a new status satisfies. */
  offer: (observed: Observed) => void
  close: () => void
}

/**
 * Creates waiters; none waits yet.
 *
 * @returns the waiters
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
    offer: (observed) => {
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
