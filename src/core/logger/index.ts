/** Structured logs: one line of key=value pairs for each event, with a stable event name. */
import winston from 'winston'
import type { EventName } from './events.ts'
import type { LogFields, LogLevel } from './types.ts'

export { LOG_LEVELS, type LogFields, type LogLevel } from './types.ts'
export type { EventName } from './events.ts'

/** Writes events. */
export interface Logger {
  /**
   * Writes one event.
   *
   * @param level - urgency
   * @param event - name of the event
   * @param fields - further pairs
   */
  log: (level: LogLevel, event: EventName, fields?: LogFields) => void
}

/** A logger whose level may change while it runs. */
interface LeveledLogger extends Logger {
  setLevel: (level: LogLevel | 'silent') => void
}

/** Options of {@link createLogger}. */
interface LoggerOptions {
  level: LogLevel | 'silent'
  /** Pairs that stand on every line, such as the host. */
  fields: LogFields
  /** Where lines go; the process's standard error when absent. */
  stream?: NodeJS.WritableStream
}

/**
 * Creates a logger.
 *
 * @param options - level, common fields and target
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
      const pairs = { time: new Date().toISOString(), level, event, ...options.fields, ...fields }
      backend.log(level, formatFields(pairs))
    }
  }
}

/** A logger that writes nothing, for tests and embedded use. */
export const silentLogger: Logger = { log: () => {} }

/**
 * Formats pairs as one line.
 *
 * @param fields - the pairs; undefined values are left out
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
