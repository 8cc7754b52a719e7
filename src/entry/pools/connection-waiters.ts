/**
 * Requests that wait for a connection of a pool, by priority, then in order of arrival. A connection goes to the first
 * request that can use it. Connections are bound to an organisation, so each waiting request needs one of its own
 * organisation, less those being opened for it.
 */
import type { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait, type BoundedWait } from '../../core/time/bounded-wait.ts'
import type { ConnectionLease, LeaseRequest } from './types.ts'

interface ConnectionWaiter {
  request: LeaseRequest
  wait: BoundedWait<ConnectionLease>
}

/** Queue of requests for a connection. */
interface ConnectionWaiters {
  readonly count: number
  /**
   * Queues a request behind those of the same or a more urgent priority.
   *
   * @param request - the request
   * @param onTimeout - creates the error that rejects the wait on timeout
   * @returns the wait
   */
  add: (request: LeaseRequest, onTimeout: () => RequestError) => BoundedWait<ConnectionLease>
  /**
   * Serves every request for which a lease is available.
   *
   * @param takeLease - takes a lease for a request; undefined if none is available
   * @returns whether any request was served
   */
  serve: (takeLease: (request: LeaseRequest) => ConnectionLease | undefined) => boolean
  /**
   * Lists the waiting requests for which no connection is being opened.
   *
   * @param opening - number of connections being opened, by organisation
   * @returns the requests, in the order in which they are served
   */
  unserved: (opening: ReadonlyMap<string, number>) => LeaseRequest[]
  rejectAll: (error: RequestError) => void
}

/**
 * Creates the wait queue of a pool.
 *
 * @returns an empty queue
 */
export function createConnectionWaiters (): ConnectionWaiters {
  const waiters: ConnectionWaiter[] = []
  const remove = (waiter: ConnectionWaiter): void => { waiters.splice(waiters.indexOf(waiter), 1) }
  return {
    get count () { return waiters.length },
    add: (request, onTimeout) => {
      const wait = createBoundedWait<ConnectionLease>({
        timeoutMs: request.waitMs,
        onTimeout: () => {
          remove(waiter)
          return onTimeout()
        }
      })
      const waiter = { request, wait }
      const after = waiters.findIndex((other) => other.request.priority > request.priority)
      waiters.splice(after < 0 ? waiters.length : after, 0, waiter)
      return wait
    },
    serve: (takeLease) => {
      const before = waiters.length
      for (const waiter of [...waiters]) {
        const lease = takeLease(waiter.request)
        if (lease !== undefined) {
          remove(waiter)
          waiter.wait.resolve(lease)
        }
      }
      return waiters.length < before
    },
    unserved: (opening) => {
      const pending = new Map(opening)
      return waiters.flatMap(({ request }) => {
        const { organisation = '' } = request
        const remaining = pending.get(organisation) ?? 0
        pending.set(organisation, remaining - 1)
        return remaining > 0 ? [] : [request]
      })
    },
    rejectAll: (error) => waiters.splice(0).forEach(({ wait }) => wait.reject(error))
  }
}
