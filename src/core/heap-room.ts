/** Room on the heap of this process, whose limit ends it. */
import { getHeapStatistics } from 'node:v8'

/** Part of the heap's limit up to which there is room for large data; the rest is for everything else. */
const MAXIMUM_USED_PART = 0.8

/**
 * Whether there is room for more large data. Garbage counts as used until it has been collected.
 *
 * @returns whether there is
 */
export function hasHeapRoom (): boolean {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics()
  return used < limit * MAXIMUM_USED_PART
}
