/** Bounds the volume of logs: each event has a budget a second; what goes beyond it is counted and told. */
import type { EventName, Logger, LogLevel } from './index.ts'

/** Lines of one event that are written in a second, by level: failures have the larger budget. */
const LINES_PER_SECOND: Record<LogLevel, number> = { error: 100, warn: 60, info: 30, debug: 10 }
/** Length of the period of a budget, in milliseconds. */
const PERIOD_MS = 1000

/** Lines of one event in this period. */
interface EventBudget {
  written: number
  leftOut: number
}

/**
 * Puts budgets before a logger.
 *
 * @param logger - the logger
 * @param onLeftOut - told of each line that is left out
 * @returns a logger that writes no more than the budgets allow
 */
export function createBudgetedLogger (logger: Logger, onLeftOut: (event: EventName) => void = () => {}): Logger {
  const budgets = new Map<EventName, EventBudget>()
  let periodEnds = performance.now() + PERIOD_MS

  const startPeriod = (now: number): void => {
    periodEnds = now + PERIOD_MS
    for (const [event, { leftOut }] of budgets) {
      if (leftOut > 0) {
        logger.log('warn', 'log.suppressed', { of: event, lines: leftOut })
      }
    }
    budgets.clear()
  }
  return {
    log: (level, event, fields) => {
      const now = performance.now()
      if (now >= periodEnds) {
        startPeriod(now)
      }
      const budget = budgets.get(event) ?? { written: 0, leftOut: 0 }
      budgets.set(event, budget)
      if (budget.written >= LINES_PER_SECOND[level]) {
        budget.leftOut++
        onLeftOut(event)
        return
      }
      budget.written++
      logger.log(level, event, fields)
    }
  }
}
