/** The memory of the requests of one connection: the one that is being read, and those that have no answer yet. */
import { createAllowance } from './allowance.ts'
import type { MemoryBudget } from './memory-budget.ts'

/** Size of the requests of a connection up to which nothing is reserved, in bytes; usual requests are smaller. */
const FREE_BYTES = 4096
/** Memory that a request takes beside its text, in bytes. */
const REQUEST_BYTES = 512
/** Size of the requests of a connection without an answer above which no more are read, in bytes. */
const MAXIMUM_UNANSWERED_BYTES = 262_144

/** Memory of the requests of a connection. */
export interface InputMemory {
  /** Whether the requests without an answer are so large that no more should be read. */
  readonly isFull: boolean
  /**
   * Sets the size of the request that is being read.
   *
   * @param bytes - its size so far; 0 if none is being read
   * @returns false if there is no room for it; it counts as 0 then and must be dropped
   */
  setIncomplete: (bytes: number) => boolean
  /**
   * Adds a request that was read whole, in place of the one that is being read.
   *
   * @param bytes - its size
   * @returns false if there is no room for it; its text must be dropped then, and its size is 0
   */
  add: (bytes: number) => boolean
  /** Removes a request that has been added, with its size. */
  remove: (bytes: number) => void
  /** Returns all memory. */
  close: () => void
}

/**
 * Creates the memory of a new connection.
 *
 * @param budget - the budget, in which larger requests are counted
 * @returns the memory
 */
export function createInputMemory (budget: Pick<MemoryBudget, 'open'>): InputMemory {
  const { resize, close } = createAllowance(budget, 'requests', FREE_BYTES)
  let unanswered = 0
  let incomplete = 0

  const setIncomplete = (bytes: number): boolean => {
    const fits = resize(unanswered + bytes)
    incomplete = fits ? bytes : 0
    fits || resize(unanswered)
    return fits
  }
  return {
    get isFull () { return unanswered > MAXIMUM_UNANSWERED_BYTES },
    setIncomplete,
    add: (bytes) => {
      incomplete = 0
      const fits = resize(unanswered + bytes + REQUEST_BYTES)
      unanswered += fits ? bytes + REQUEST_BYTES : REQUEST_BYTES
      fits || resize(unanswered)
      return fits
    },
    remove: (bytes) => {
      unanswered -= bytes + REQUEST_BYTES
      resize(unanswered + incomplete)
    },
    close
  }
}
