/** Periodic work with a jittered pause, and a backoff while it fails. */

/** Least part of a pause that is waited, and the random rest: processes must not act in step. */
const SHORTEST_WAIT = 0.75
const WAIT_JITTER = 0.5

/**
 * Repeats work with a jittered pause in between.
 *
 * @param intervalMs - mean pause, in milliseconds
 * @param work - the work; the pause begins when it has ended
 * @param onError - called when a turn fails; the next one comes after the backoff
 * @param retryMs - mean pause after a turn that failed, in milliseconds; it doubles from one failure to the next
 * @param greatestRetryMs - greatest such pause, in milliseconds
 * @returns stops it
 */
export function repeat (
  intervalMs: number, work: () => Promise<void>, onError: (thrown: unknown) => void = () => {}, retryMs = intervalMs,
  greatestRetryMs = retryMs
): () => void {
  let timer: NodeJS.Timeout | undefined
  const state = { stopped: false }
  let nextRetryMs = retryMs
  const again = async (): Promise<void> => {
    let pauseMs = intervalMs
    try {
      await work()
      nextRetryMs = retryMs
    } catch (thrown) {
      pauseMs = nextRetryMs
      nextRetryMs = Math.min(greatestRetryMs, nextRetryMs * 2)
      onError(thrown)
    }
    if (!state.stopped) {
      timer = setTimeout(() => { void again() }, pauseMs * (SHORTEST_WAIT + Math.random() * WAIT_JITTER))
    }
  }
  void again()
  return () => {
    state.stopped = true
    clearTimeout(timer)
  }
}
