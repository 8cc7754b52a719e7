/**
 * Searches for a usable primary by querying all upstreams periodically, and holds the requests that wait for one. The
 * group's view decides whether a primary is usable.
 */
import { pause, type Deadline } from '../../core/time/deadline.ts'

/** Interval between rounds of queries, in milliseconds. */
const SEARCH_INTERVAL_MS = 15
/** Interval between rounds after {@link FAST_ROUNDS}, in milliseconds. */
const SLOW_SEARCH_INTERVAL_MS = 150
/** Rounds after which the search slows down, 2.25 s at the shorter interval. */
const FAST_ROUNDS = 150

/** Options of {@link createPrimarySearch}. */
interface PrimarySearchOptions {
  /** Returns whether to continue: the view is open and has no usable primary. */
  isNeeded: () => boolean
  /** Queries the status of all upstreams without waiting for the answers. */
  queryAll: () => void
}

/** Search for a group's primary. */
interface PrimarySearch {
  /** Starts searching until a primary is usable; does nothing while a search is running. */
  start: () => void
  /** Waits until `wakeWaiters` is called or the deadline passes. */
  wait: (deadline: Deadline) => Promise<void>
  /** Wakes all waiting requests after a change of leadership or reachability. */
  wakeWaiters: () => void
}

/**
 * Creates a search without starting it.
 *
 * @param options - condition and query of the search
 * @returns the search
 */
export function createPrimarySearch ({ isNeeded, queryAll }: PrimarySearchOptions): PrimarySearch {
  const waiters = new Set<() => void>()
  let searching = false

  const search = async (): Promise<void> => {
    if (searching) {
      return
    }
    searching = true
    for (let round = 0; isNeeded(); round++) {
      queryAll()
      await pause(round < FAST_ROUNDS ? SEARCH_INTERVAL_MS : SLOW_SEARCH_INTERVAL_MS)
    }
    searching = false
  }

  return {
    start: () => { void search() },
    wait: async (deadline) => await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, deadline.leftMs)
      waiters.add(wake)
    }),
    wakeWaiters: () => [...waiters].forEach((wake) => wake())
  }
}
