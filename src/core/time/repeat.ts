/** Runs periodic work with jitter, and with exponential backoff while it fails. */

/** Bounds of the random factor of a pause, which keeps processes from running in lockstep. */
const MINIMUM_PAUSE_FACTOR = 0.75
const PAUSE_JITTER = 0.5

/**
 * Repeats work with a jittered pause between runs.
 *
 * @param intervalMs - mean pause, in milliseconds; a function is called before each pause
 * @param work - the work; the pause starts after it has finished
 * @param onError - called when a run fails
 * @param retryMs - mean pause after a failed run, in milliseconds; doubles with each consecutive failure
 * @param maximumRetryMs - maximum mean pause after a failed run, in milliseconds
 * @returns a function that stops the repetition
 */
export function repeat (
  intervalMs: number | (() => number), work: () => Promise<void>, onError: (thrown: unknown) => void = () => {},
  retryMs?: number, maximumRetryMs = retryMs
): () => void {
  let timer: NodeJS.Timeout | undefined
  const state = { stopped: false }
  const currentIntervalMs = (): number => typeof intervalMs === 'number' ? intervalMs : intervalMs()
  let nextRetryMs = retryMs
  const run = async (): Promise<void> => {
    let pauseMs: number
    try {
      await work()
      nextRetryMs = retryMs
      pauseMs = currentIntervalMs()
    } catch (thrown) {
      pauseMs = nextRetryMs ?? currentIntervalMs()
      nextRetryMs = nextRetryMs === undefined ? undefined : Math.min(maximumRetryMs ?? Infinity, nextRetryMs * 2)
      onError(thrown)
    }
    if (!state.stopped) {
      timer = setTimeout(() => { void run() }, pauseMs * (MINIMUM_PAUSE_FACTOR + Math.random() * PAUSE_JITTER))
    }
  }
  void run()
  return () => {
    state.stopped = true
    clearTimeout(timer)
  }
}
