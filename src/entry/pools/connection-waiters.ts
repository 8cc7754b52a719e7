/**
 * Who gets the next connection of a pool. Owns the requests that wait for one.
 *
 * Inputs: priority of each request (0 goes first), its greatest wait in milliseconds, its organisation. Rule: by
 * priority, then in the order of arrival; a connection that no request before it can use goes to the next one. A
 * connection carries the statements of one organisation only, so one is opened for each request that waits, less those
 * being opened for its organisation.
 */
import type { RequestError } from '../../core/errors/index.ts'
import { createBoundedWait, type BoundedWait } from '../../core/time/bounded-wait.ts'
import type { ConnectionLease, LeaseRequest } from './types.ts'

/** A request that waits. */
interface ConnectionWaiter {
  request: LeaseRequest
  wait: BoundedWait<ConnectionLease>
}

/** Requests that wait for a connection. */
interface ConnectionWaiters {
  readonly count: number
  /**
   * Adds a request by its priority.
   *
   * @param request - the request
   * @param onTimeout - returns the error of a wait that took too long
   * @returns the wait
   */
  add: (request: LeaseRequest, onTimeout: () => RequestError) => BoundedWait<ConnectionLease>
  /**
   * Serves all requests for which a lease is found.
   *
   * @param takeLease - finds a lease for a request; undefined when there is none
   */
  serve: (takeLease: (request: LeaseRequest) => ConnectionLease | undefined) => void
  /**
   * Lists for whom connections are still to be opened.
   *
   * @param opening - connections being opened, by organisation
   * @returns an organisation for each connection, in the order in which requests are served
   */
  unservedOrganisations: (opening: ReadonlyMap<string, number>) => string[]
  rejectAll: (error: RequestError) => void
}

/**
 * Creates the waiters of a pool.
 *
 * @returns none yet
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
      for (const waiter of [...waiters]) {
        const lease = takeLease(waiter.request)
        if (lease !== undefined) {
          remove(waiter)
          waiter.wait.resolve(lease)
        }
      }
    },
    unservedOrganisations: (opening) => {
      const coming = new Map(opening)
      return waiters.flatMap(({ request: { organisation = '' } }) => {
        const left = coming.get(organisation) ?? 0
        coming.set(organisation, left - 1)
        return left > 0 ? [] : [organisation]
      })
    },
    rejectAll: (error) => waiters.splice(0).forEach(({ wait }) => wait.reject(error))
  }
}
