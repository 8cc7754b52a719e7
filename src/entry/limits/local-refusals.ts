/**
 * Which priorities of an organisation this host refuses without asking the owner, and when refused callers should
 * retry.
 *
 * The owner states one time to a host. The host's callers that are refused meanwhile get times that follow each other
 * at the interval that the owner stated, since about one of them can be served in each. Once these times exceed what
 * the callers have, more of them ask than can be served: then they are told to retry so soon that two retries stay
 * within the target, since an answer in time is worth more than a late one.
 */

/**
 * Longest time for which a host refuses operations without asking the owner again, in milliseconds. It bounds both the
 * delay until callers are served again and the requests to the owner under overload, to 2.5 a second from each host.
 */
export const MAXIMUM_LOCAL_REFUSAL_MS = 400

/** Shortest of the delays that keep retries within the target, as a part of the longest one. */
const SHORT_DELAYS = { from: 0.5 } as const
/** Step between positions; successive multiples of it, modulo 1, are spread evenly. */
const GOLDEN_RATIO = 0.618

/** Refusal of one priority; times on the monotonic clock, in milliseconds. */
interface LocalRefusal {
  refusedUntil: number
  intervalMs: number
  /** Retry time of the next refused caller. */
  retryAt: number
  /** Position of the last short delay in its range, from 0 to 1. */
  position: number
}

/** Refusals of one organisation. */
export interface LocalRefusals {
  isRefused: (priority: number) => boolean
  /** Records that the owner has refused a priority, with the time after which to ask again. */
  record: (priority: number, retryAfterMs: number) => void
  /**
   * Chooses the retry delay of a refused caller.
   *
   * @param priority - its priority
   * @param timeoutMs - the caller's own time; the delay is never longer
   * @param maximumWaitMs - half of the time until its target
   * @returns the delay, at least 1 ms
   */
  retryAfterMs: (priority: number, timeoutMs: number, maximumWaitMs: number) => number
}

/**
 * Creates the refusals of an organisation.
 *
 * @returns the refusals; nothing is refused at first
 */
export function createLocalRefusals (): LocalRefusals {
  const refusals = new Map<number, LocalRefusal>()
  return {
    isRefused: (priority) => performance.now() < (refusals.get(priority)?.refusedUntil ?? -Infinity),
    record: (priority, retryAfterMs) => {
      const now = performance.now()
      const intervalMs = Math.max(1, retryAfterMs)
      const retryAt = Math.max(now + intervalMs, refusals.get(priority)?.retryAt ?? 0)
      const refusedUntil = now + Math.min(MAXIMUM_LOCAL_REFUSAL_MS, intervalMs)
      const { position = 0 } = refusals.get(priority) ?? {}
      refusals.set(priority, { refusedUntil, intervalMs, retryAt, position })
    },
    retryAfterMs: (priority, timeoutMs, maximumWaitMs) => {
      const refusal = refusals.get(priority)
      if (refusal === undefined) {
        return 1
      }
      const now = performance.now()
      if (refusal.retryAt - now > timeoutMs) {
        refusal.position = (refusal.position + GOLDEN_RATIO) % 1
        const shortMs = maximumWaitMs * (SHORT_DELAYS.from + refusal.position * (1 - SHORT_DELAYS.from))
        return Math.max(1, Math.min(timeoutMs, Math.ceil(shortMs)))
      }
      const delayMs = Math.max(1, Math.ceil(refusal.retryAt - now))
      refusal.retryAt += Math.min(MAXIMUM_LOCAL_REFUSAL_MS, refusal.intervalMs)
      return delayMs
    }
  }
}
