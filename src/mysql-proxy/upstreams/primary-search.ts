/**
 * Searches for a usable primary by asking all upstreams again and again, and lets requests wait for one. Owns the
 * waiting requests; the group's view decides which primary is usable.
 */
import { pause, type Deadline } from '../../core/time/deadline.ts'

/** Pause between two questions to all upstreams, in milliseconds. */
const SEARCH_PAUSE_MS = 15
/** The same once the group has been without a primary for long, in milliseconds. */
const LONG_SEARCH_PAUSE_MS = 150
/** Questions after which a group counts as long without a primary; with the pause, after 2.25 s. */
const QUICK_QUESTIONS = 150

/** Options of {@link createPrimarySearch}. */
interface PrimarySearchOptions {
  /** Whether the search goes on: no primary is usable, and the view is open. */
  isNeeded: () => boolean
  /** Asks all upstreams for their status, without waiting for the answers. */
  askAll: () => void
}

/** The search for a group's primary. */
interface PrimarySearch {
  /** Searches until a primary is usable; one search at a time. */
  start: () => void
  /** Waits until waiters are woken or the deadline passes. */
  wait: (deadline: Deadline) => Promise<void>
  /** Wakes all that wait, since leadership or reachability has changed. */
  wake: () => void
}

/**
 * Creates a search that has not started.
 *
 * @param options - when to search, and how to ask
 * @returns the search
 */
export function createPrimarySearch ({ isNeeded, askAll }: PrimarySearchOptions): PrimarySearch {
  const waiters = new Set<() => void>()
  let searching = false

  const search = async (): Promise<void> => {
    if (searching) {
      return
    }
    searching = true
    for (let questions = 0; isNeeded(); questions++) {
      askAll()
      await pause(questions < QUICK_QUESTIONS ? SEARCH_PAUSE_MS : LONG_SEARCH_PAUSE_MS)
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
    wake: () => [...waiters].forEach((wake) => wake())
  }
}
