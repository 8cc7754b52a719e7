/** Types of the logger. */

/** Fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** Levels, most severe first. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const

/** One of {@link LOG_LEVELS}. */
export type LogLevel = typeof LOG_LEVELS[number]
