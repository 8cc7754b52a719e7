/** Rate limit of the logs: lines beyond the budget per second of an event are suppressed and counted. */
import type { EventName, Logger, LogLevel } from './index.ts'

/** Maximum lines per second of an event, by level; errors have the larger budgets. */
const LINES_PER_SECOND: Record<LogLevel, number> = { error: 100, warn: 60, info: 30, debug: 10 }
/** Length of a budget period, in milliseconds. */
const PERIOD_MS = 1000

/** Lines of an event in the current period. */
interface EventLineCount {
  written: number
  suppressed: number
}

/**
 * Wraps a logger with a budget for each event.
 *
 * @param logger - the logger
 * @param onSuppressed - called for each suppressed line
 * @returns the rate-limited logger
 */
export function createBudgetedLogger (logger: Logger, onSuppressed: (event: EventName) => void = () => {}): Logger {
  const lineCounts = new Map<EventName, EventLineCount>()
  let periodEnds = performance.now() + PERIOD_MS

  const startPeriod = (now: number): void => {
    periodEnds = now + PERIOD_MS
    for (const [event, { suppressed }] of lineCounts) {
      if (suppressed > 0) {
        logger.log('warn', 'log.suppressed', { of: event, lines: suppressed })
      }
    }
    lineCounts.clear()
  }
  return {
    log: (level, event, fields) => {
      const now = performance.now()
      if (now >= periodEnds) {
        startPeriod(now)
      }
      const lineCount = lineCounts.get(event) ?? { written: 0, suppressed: 0 }
      lineCounts.set(event, lineCount)
      if (lineCount.written >= LINES_PER_SECOND[level]) {
        lineCount.suppressed++
        onSuppressed(event)
        return
      }
      lineCount.written++
      logger.log(level, event, fields)
    }
  }
}
