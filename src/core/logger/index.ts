/** Structured logging: each event is a line of key=value fields with a stable event name. */
import type { EventName } from './events.ts'
import { LOG_LEVELS, type LogFields, type LogLevel } from './types.ts'

export { LOG_LEVELS, type LogFields, type LogLevel } from './types.ts'
export type { EventName } from './events.ts'

/** Writes events to the log. */
export interface Logger {
  /**
   * Writes an event.
   *
   * @param level - severity
   * @param event - name of the event
   * @param fields - further fields of the line
   */
  log: (level: LogLevel, event: EventName, fields?: LogFields) => void
}

/** A logger whose level can be changed at run time. */
interface LeveledLogger extends Logger {
  setLevel: (level: LogLevel | 'silent') => void
}

/** Options of {@link createLogger}. */
interface LoggerOptions {
  level: LogLevel | 'silent'
  /** Fields of every line, such as the host. */
  fields: LogFields
  /** Destination of the lines; standard error when absent. */
  stream?: LineSink
}

/** Destination of log lines. */
export interface LineSink {
  /** Writes a line, which ends with a line feed. */
  write: (line: string) => unknown
}

const VALUE_WITHOUT_QUOTES = /^[^\s"=]+$/

/**
 * Creates a logger.
 *
 * @param options - level, common fields and destination
 * @returns the logger
 */
export function createLogger (options: LoggerOptions): LeveledLogger {
  const sink = options.stream ?? process.stderr
  const common = formatFields(options.fields)
  /** Number of levels that are written, from the most severe one. */
  let writtenLevels = 0
  const setLevel = (level: LogLevel | 'silent'): void => {
    writtenLevels = level === 'silent' ? 0 : LOG_LEVELS.indexOf(level) + 1
  }
  setLevel(options.level)
  return {
    setLevel,
    log: (level, event, fields = {}) => {
      if (LOG_LEVELS.indexOf(level) < writtenLevels) {
        const start = `time=${new Date().toISOString()} level=${level} event=${event}`
        sink.write(`${[start, common, formatFields(fields)].filter((part) => part !== '').join(' ')}\n`)
      }
    }
  }
}

/** A logger that discards everything, for tests and embedded use. */
export const silentLogger: Logger = { log: () => {} }

/**
 * Formats fields as a line.
 *
 * @param fields - the fields; undefined values are omitted
 * @returns `key=value key="value with spaces"`
 */
export function formatFields (fields: LogFields): string {
  let line = ''
  for (const key of Object.keys(fields)) {
    const value = fields[key]
    if (value !== undefined) {
      line += `${line === '' ? '' : ' '}${key}=${typeof value === 'string' ? formatText(value) : value}`
    }
  }
  return line
}

function formatText (text: string): string {
  return VALUE_WITHOUT_QUOTES.test(text) ? text : JSON.stringify(text)
}
