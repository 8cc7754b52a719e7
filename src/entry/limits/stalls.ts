/** Notices that this process has stood still: others may have done its work meanwhile. */
import { repeat } from '../../core/time/repeat.ts'

/** Time between two looks at the clock, in milliseconds. */
const LOOK_MS = 500
/** Lateness of a look from which the process counts as having stood still, in milliseconds: a home is passed over. */
const STALLED_MS = 500

/** Watches this process. */
interface StallWatch {
  /** When it last went on after it had stood still, or when it began, on the steady clock. */
  readonly runningSince: number
  close: () => void
}

/**
 * Begins to watch this process.
 *
 * @returns the watch
 */
export function watchStalls (): StallWatch {
  let runningSince = performance.now()
  let lookedAt = runningSince
  /** Also called where something depends on it, since a thawed process may get to other work before its timers. */
  const look = (): void => {
    const now = performance.now()
    if (now - lookedAt > LOOK_MS + STALLED_MS) {
      runningSince = now
    }
    lookedAt = now
  }
  const close = repeat(LOOK_MS, async () => look())
  return {
    get runningSince () {
      look()
      return runningSince
    },
    close
  }
}
