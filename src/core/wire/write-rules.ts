/** Decides whether the rows of an answer are still written while this process stops. */
import type { WriteProgress } from './write-rate.ts'

/** Longest wait that is expected before one has been observed, in milliseconds. */
const FIRST_WAIT_MS = 2000
/** Allowance for a wait that takes longer than those before it. */
const WAIT_FACTOR = 2

/**
 * Decides whether to write more rows of an answer. Afterwards the connection may be full, and then its answer can't be
 * ended before it has room again.
 *
 * @param progress - how the connection has taken rows
 * @param remainingMs - time until this process closes the connection, in milliseconds; Infinity while it does not stop
 * @returns whether the rest fits, or the connection will have room once more before it is closed
 */
export function mayWriteOn ({ remainingBytes, roomBytes, longestWaitMs }: WriteProgress, remainingMs: number): boolean {
  const nextWaitMs = longestWaitMs === undefined ? FIRST_WAIT_MS : longestWaitMs * WAIT_FACTOR
  return remainingBytes <= roomBytes || remainingMs > nextWaitMs
}
