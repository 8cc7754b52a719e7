/** Reads the store when this host's knowledge has become stale, whatever it waits for at the time. */
import { STALE_AFTER_MS } from '../ports/change-bound.ts'

/** Minimum interval between checks, in milliseconds. */
const MINIMUM_INTERVAL_MS = 100

interface StaleReadOptions {
  /** Age of what this host decides by, in milliseconds. */
  ageMs: () => number
  /** Reads the store unless it has been read too recently. */
  read: () => Promise<void>
  onError: (thrown: unknown) => void
}

/**
 * Checks the age until stopped, each time when it reaches {@link STALE_AFTER_MS} at the earliest.
 *
 * @param options - the age, and the way to read the store
 * @returns a function that stops the checks
 */
export function readWhenStale ({ ageMs, read, onError }: StaleReadOptions): () => void {
  let timer: NodeJS.Timeout
  const check = (): void => {
    const leftMs = STALE_AFTER_MS - ageMs()
    if (leftMs <= 0) {
      read().catch(onError)
    }
    timer = setTimeout(check, Math.max(MINIMUM_INTERVAL_MS, Math.min(leftMs, STALE_AFTER_MS)))
  }
  timer = setTimeout(check, STALE_AFTER_MS)
  return () => clearTimeout(timer)
}
