/**
 * Detects that this process was paused: a periodic check of the clock then runs late. Other hosts may have owned the
 * limits of this host during the pause.
 */
import { repeat } from '../../core/time/repeat.ts'

/** Mean interval between two checks of the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 500
/**
 * Delay of a check from which the process counts as paused, in milliseconds. Other hosts suspect a silent host earlier,
 * after PROBE_AFTER_IDLE_MS and SUSPECT_AFTER_MS of homes/home-watch.ts.
 */
const PAUSE_THRESHOLD_MS = 500

/** Detects pauses of this process. */
export interface ProcessPauseWatch {
  /** End of the last pause, or the start of the watch, on the monotonic clock, in milliseconds. */
  readonly runningSince: number
  close: () => void
}

/**
 * Starts to watch this process.
 *
 * @returns the watch
 */
export function watchProcessPauses (): ProcessPauseWatch {
  let runningSince = performance.now()
  let checkedAt = runningSince
  /** Also called when the result is read, since a resumed process may run other work before its timers. */
  const checkClock = (): void => {
    const now = performance.now()
    if (now - checkedAt > CHECK_INTERVAL_MS + PAUSE_THRESHOLD_MS) {
      runningSince = now
    }
    checkedAt = now
  }
  const close = repeat(CHECK_INTERVAL_MS, async () => checkClock())
  return {
    get runningSince () {
      checkClock()
      return runningSince
    },
    close
  }
}
