/**
 * Since when this process has run without a pause: paused itself, by its host, unlike another host that is silent.
 * Other hosts may have owned its limits meanwhile. Rule: a check of the clock that comes more than {@link PAUSED_MS}
 * late shows a pause.
 */
import { repeat } from '../../core/time/repeat.ts'

/** Mean time between two checks of the clock, in milliseconds. */
const CHECK_MS = 500
/**
 * Lateness of a check from which the process counts as having been paused, in milliseconds. Other hosts skip a host
 * that has been silent for less (HOME_SILENCE_MS and HOME_ANSWER_MS, together).
 */
const PAUSED_MS = 500

/** Watches this process. */
export interface ProcessPauseWatch {
  /** When it last went on after a pause, or when the watch began, on the steady clock. */
  readonly runningSince: number
  close: () => void
}

/**
 * Begins to watch this process.
 *
 * @returns the watch
 */
export function watchProcessPauses (): ProcessPauseWatch {
  let runningSince = performance.now()
  let checkedAt = runningSince
  /** Also called where a decision depends on it, since a thawed process may get to other work before its timers. */
  const checkClock = (): void => {
    const now = performance.now()
    if (now - checkedAt > CHECK_MS + PAUSED_MS) {
      runningSince = now
    }
    checkedAt = now
  }
  const close = repeat(CHECK_MS, async () => checkClock())
  return {
    get runningSince () {
      checkClock()
      return runningSince
    },
    close
  }
}
