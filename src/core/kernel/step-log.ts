/** Logs what a stop does with its time. */
import type { Logger } from '../logger/index.ts'

/** Shortest duration of a step that is logged, in milliseconds. */
const LOGGED_STEP_MS = 50

/** Runs a step of a stop. */
export type StepRunner = (step: string, run: () => Promise<void>) => Promise<void>

/** Runs a step without logging it. */
export const runSilently: StepRunner = async (_step, run) => await run()

/**
 * Creates a runner that logs each step that takes time, with at most one line a step.
 *
 * @param logger - the logger
 * @param startedAt - beginning of the stop, on the monotonic clock
 * @returns the runner
 */
export function createStepLog (logger: Logger, startedAt: number): StepRunner {
  return async (step, run) => {
    const stepStartedAt = performance.now()
    await run()
    const now = performance.now()
    if (now - stepStartedAt >= LOGGED_STEP_MS) {
      logger.log('info', 'process.stop-step', {
        step, tookMs: Math.round(now - stepStartedAt), endedMs: Math.round(now - startedAt)
      })
    }
  }
}
