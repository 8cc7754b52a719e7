/**
 * Warm-up of a host before it reports itself ready, so that the first requests of callers need not open links and
 * connections. It is designed for a rolling restart, where readiness decides when callers come. It ends after
 * {@link WARM_UP_LIMIT_MS}, whatever is missing then. When fewer than half of the asked hosts are ready, all hosts
 * return at once: callers come to hosts that are not ready, and the processor time is needed for their requests, so
 * the host reports itself ready and does the rest {@link POSTPONED_MS} later.
 */
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'

/** Maximum duration of a warm-up, in milliseconds. */
export const WARM_UP_LIMIT_MS = 2000

/**
 * Time by which the warm-up of a host is postponed when all hosts return, in milliseconds. By then callers that were
 * refused have returned, and upstreams have dropped the connections of the former processes (3 s).
 */
export const POSTPONED_MS = 6000

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
  /** Drops a postponed warm-up. */
  close: () => void
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
  let postponed: NodeJS.Timeout | undefined

  const reports = new Map<string, StepReport>()

  const runStep = async (name: string, run: WarmUpStep): Promise<void> => {
    const startedAt = performance.now()
    const report: StepReport = { wanted: 0, ready: 0 }
    reports.set(name, report)
    await run(report).catch(() => {})
    report.tookMs = Math.round(performance.now() - startedAt)
  }
  const runSteps = async (): Promise<unknown> =>
    await Promise.all(Object.entries(steps).map(async ([name, run]) => await runStep(name, run)))
  const runUnlessPostponed = async (): Promise<'done' | 'postponed'> => {
    if (await isReturnOfAll()) {
      return 'postponed'
    }
    await runSteps()
    return 'done'
  }
  const report = (startedAt: number, ended: unknown): void => {
    const described = [...reports].flatMap(([name, { ready, wanted, tookMs }]) =>
      [[name, `${ready}/${wanted}`], [`${name}Ms`, tookMs ?? 'unfinished']])
    logger.log('info', 'readiness.warm', {
      tookMs: Math.round(performance.now() - startedAt),
      limitPassed: ended === TIMED_OUT,
      postponed: ended === 'postponed',
      ...Object.fromEntries(described) as Record<string, string | number>
    })
  }
  const run = async (): Promise<void> => {
    const startedAt = performance.now()
    const ended = await withTimeout(runUnlessPostponed(), WARM_UP_LIMIT_MS)
    isDone = true
    report(startedAt, ended)
    if (ended === 'postponed') {
      postponed = setTimeout(() => {
        const resumedAt = performance.now()
        void withTimeout(runSteps(), WARM_UP_LIMIT_MS).then((end) => report(resumedAt, end))
      }, POSTPONED_MS)
    }
  }
  return {
    get isDone () { return isDone },
    start: () => {
      if (!isStarted) {
        isStarted = true
        void run()
      }
    },
    close: () => clearTimeout(postponed)
  }
}
