/**
 * The memory that a process may hold for others: callers, upstreams and peers. Owners reserve bytes before they keep
 * data and return them when they drop it, so what does not fit is refused while the rest is still served. The limits
 * are parts of the heap's limit, at which the runtime ends the process.
 */
import { getHeapStatistics } from 'node:v8'

/** What memory is held for. */
export type MemoryUse = 'names' | 'requests' | 'answers'

/** Part of the heap's limit that all uses together may take; the rest is for everything else, and for garbage. */
const TOTAL_PART = 0.5
/** Part of the heap's limit that each use may take. */
const MAXIMUM_PARTS: Record<MemoryUse, number> = { names: 0.25, requests: 0.25, answers: 0.4 }

/** All uses. */
export const MEMORY_USES = Object.keys(MAXIMUM_PARTS) as MemoryUse[]

/** Bytes that one owner holds. */
export interface MemoryHold {
  readonly bytes: number
  /**
   * Reserves further bytes.
   *
   * @param bytes - number of bytes
   * @returns false if they do not fit, or the hold is closed; nothing is reserved then
   */
  take: (bytes: number) => boolean
  /** Returns some of the bytes. */
  give: (bytes: number) => void
  /** Returns all bytes; nothing can be reserved afterwards. */
  close: () => void
}

/** Bytes that are held, by use. */
export interface MemoryBudget {
  /** Creates the empty hold of a new owner. */
  open: (use: MemoryUse) => MemoryHold
  /** Bytes that are held for a use. */
  heldBytes: (use: MemoryUse) => number
  /** Bytes that may be held for a use now; less than its part while other uses take more than the rest. */
  maximumBytes: (use: MemoryUse) => number
}

/**
 * Creates the budget of a process.
 *
 * @param heapBytes - limit of the heap, in bytes; the one of this process by default
 * @returns the budget, of which nothing is held
 */
export function createMemoryBudget (heapBytes: number = getHeapStatistics().heap_size_limit): MemoryBudget {
  const held = Object.fromEntries(MEMORY_USES.map((use) => [use, 0])) as Record<MemoryUse, number>
  let totalHeld = 0

  const maximumBytes = (use: MemoryUse): number =>
    Math.floor(Math.min(heapBytes * MAXIMUM_PARTS[use], heapBytes * TOTAL_PART - (totalHeld - held[use])))
  const add = (use: MemoryUse, bytes: number): void => {
    held[use] += bytes
    totalHeld += bytes
  }
  const open = (use: MemoryUse): MemoryHold => {
    let taken = 0
    let isClosed = false
    const give = (bytes: number): void => {
      taken -= bytes
      add(use, -bytes)
    }
    return {
      get bytes () { return taken },
      take: (bytes) => {
        if (isClosed || held[use] + bytes > maximumBytes(use)) {
          return false
        }
        taken += bytes
        add(use, bytes)
        return true
      },
      give,
      close: () => {
        isClosed = true
        give(taken)
      }
    }
  }
  return { open, heldBytes: (use) => held[use], maximumBytes }
}
