/**
 * Warm-up of a host before it reports itself ready, so that the first requests of callers need not open links and
 * connections. It is designed for a rolling restart, where readiness decides when callers come. It ends after
 * {@link WARM_UP_LIMIT_MS}, whatever is missing then. When fewer than half of the asked hosts are ready, all hosts
 * return at once: callers come to hosts that are not ready, and the processor time is needed for their requests, so
 * the rest is skipped.
 */
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'

/** Maximum duration of a warm-up, in milliseconds. */
export const WARM_UP_LIMIT_MS = 2000

/** How much of a step is ready. */
export interface StepProgress {
  wanted: number
  ready: number
}

/** Progress of a step, and its duration in milliseconds once it has ended. */
interface StepReport extends StepProgress {
  tookMs?: number
}

/** A step of the warm-up; updates its progress while it runs. */
type WarmUpStep = (progress: StepProgress) => Promise<void>

/** What a warm-up does. */
export interface WarmUpPlan {
  /** Whether fewer than half of the hosts are ready; asks some of them. */
  isReturnOfAll: () => Promise<boolean>
  /** Steps by name; they run at the same time. */
  steps: Record<string, WarmUpStep>
}

/** Warm-up of a host. */
export interface WarmUp {
  /** Whether it has ended; stays true. */
  readonly isDone: boolean
  /** Starts it; further calls do nothing. */
  start: () => void
}

/**
 * Creates the warm-up.
 *
 * @param plan - the steps, and whether they are worth their cost
 * @param logger - receives the event `readiness.warm`
 * @returns the warm-up, which has not started
 */
export function createWarmUp ({ isReturnOfAll, steps }: WarmUpPlan, logger: Pick<Logger, 'log'>): WarmUp {
  let isStarted = false
  let isDone = false

  const reports = new Map<string, StepReport>()

  const runStep = async (name: string, run: WarmUpStep): Promise<void> => {
    const startedAt = performance.now()
    const report: StepReport = { wanted: 0, ready: 0 }
    reports.set(name, report)
    await run(report).catch(() => {})
    report.tookMs = Math.round(performance.now() - startedAt)
  }
  const runAll = async (): Promise<boolean> => {
    const isSkipped = await isReturnOfAll()
    if (!isSkipped) {
      await Promise.all(Object.entries(steps).map(async ([name, run]) => await runStep(name, run)))
    }
    return isSkipped
  }
  const run = async (): Promise<void> => {
    const startedAt = performance.now()
    const ended = await withTimeout(runAll(), WARM_UP_LIMIT_MS)
    isDone = true
    const described = [...reports].flatMap(([name, { ready, wanted, tookMs }]) =>
      [[name, `${ready}/${wanted}`], [`${name}Ms`, tookMs ?? 'unfinished']])
    logger.log('info', 'readiness.warm', {
      tookMs: Math.round(performance.now() - startedAt),
      limitPassed: ended === TIMED_OUT,
      skipped: ended === true,
      ...Object.fromEntries(described) as Record<string, string | number>
    })
  }
  return {
    get isDone () { return isDone },
    start: () => {
      if (!isStarted) {
        isStarted = true
        void run()
      }
    }
  }
}
