/**
 * Periodic work at whole multiples of its interval on the monotonic clock, so that the timers of a process expire
 * together. Each wake-up of an idle process costs it about 0.09 ms of processor time.
 */

/**
 * Starts periodic work, which does not keep the process running.
 *
 * @param work - the work
 * @param intervalMs - interval, in milliseconds; the first one may be shorter
 * @returns stops it
 */
export function startAlignedInterval (work: () => void, intervalMs: number): () => void {
  let timer: NodeJS.Timeout
  const untilNextMs = (): number => intervalMs - performance.now() % intervalMs
  const startTimer = (delayMs: number): void => {
    timer = setTimeout(run, delayMs).unref()
  }
  const run = (): void => {
    const delayMs = untilNextMs()
    // A timer may expire a little early, which must not count as another interval.
    startTimer(delayMs < intervalMs / 2 ? delayMs + intervalMs : delayMs)
    work()
  }
  startTimer(untilNextMs())
  return () => clearTimeout(timer)
}
