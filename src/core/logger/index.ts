/** Structured logging: each event is a line of key=value fields with a stable event name. */
import winston from 'winston'
import type { EventName } from './events.ts'
import type { LogFields, LogLevel } from './types.ts'

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
  stream?: NodeJS.WritableStream
}

/**
 * Creates a logger.
 *
 * @param options - level, common fields and destination
 * @returns the logger
 */
export function createLogger (options: LoggerOptions): LeveledLogger {
  const stream = options.stream ?? process.stderr
  const backend = winston.createLogger({
    format: winston.format.printf((info) => String(info.message)),
    transports: [new winston.transports.Stream({ stream })]
  })
  const setLevel = (level: LogLevel | 'silent'): void => {
    backend.level = level === 'silent' ? 'error' : level
    backend.silent = level === 'silent'
  }
  setLevel(options.level)
  return {
    setLevel,
    log: (level, event, fields = {}) => {
      if (!backend.isLevelEnabled(level)) {
        return
      }
      const lineFields = { time: new Date().toISOString(), level, event, ...options.fields, ...fields }
      backend.log(level, formatFields(lineFields))
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
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(' ')
}

function formatValue (value: string): string {
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value)
}
