/** Types of logs. */

/** Values a log line may carry. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** Levels, most urgent first. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const

/** One of {@link LOG_LEVELS}. */
export type LogLevel = typeof LOG_LEVELS[number]
