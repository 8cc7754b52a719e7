/** The error for something that does not fit into the memory budget. */
import { RequestError } from '../errors/index.ts'
import type { MemoryBudget, MemoryUse } from './memory-budget.ts'

/**
 * Creates the error.
 *
 * @param budget - the budget
 * @param use - what the memory was wanted for
 * @param what - the thing that does not fit, as callers know it
 * @param bytes - its size, in bytes
 * @returns the error, with verdict `not-run`
 */
export function noMemory (
  budget: Pick<MemoryBudget, 'heldBytes' | 'maximumBytes'>, use: MemoryUse, what: string, bytes: number
): RequestError<'NoMemory'> {
  const [heldBytes, maximumBytes] = [budget.heldBytes(use), budget.maximumBytes(use)]
  return new RequestError('not-run', 'NoMemory', { what, bytes, use, heldBytes, maximumBytes })
}
