/** What one owner, such as a connection, holds of the memory budget, beyond a part that is free. */
import type { MemoryBudget, MemoryHold, MemoryUse } from './memory-budget.ts'

/** Memory of one owner. */
export interface Allowance {
  /**
   * Sets the size of what the owner holds.
   *
   * @param bytes - the size, in bytes
   * @returns false if it does not fit; the size is as before then
   */
  resize: (bytes: number) => boolean
  /** Returns all memory. */
  close: () => void
}

/**
 * Creates the memory of a new owner.
 *
 * @param budget - the budget
 * @param use - what the memory is held for
 * @param freeBytes - size up to which nothing is counted, in bytes, so that usual sizes cost nothing
 * @returns the memory
 */
export function createAllowance (budget: Pick<MemoryBudget, 'open'>, use: MemoryUse, freeBytes: number): Allowance {
  let hold: MemoryHold | undefined
  return {
    resize: (bytes) => {
      if (bytes <= freeBytes && hold === undefined) {
        return true
      }
      hold ??= budget.open(use)
      const missing = Math.max(0, bytes - freeBytes) - hold.bytes
      if (missing > 0) {
        return hold.take(missing)
      }
      hold.give(-missing)
      return true
    },
    close: () => hold?.close()
  }
}
