/** Parses log lines of `key=value` pairs, in which values that contain spaces are quoted. */

/** A parsed log line. */
export interface LogEntry {
  /** Time by the clock of the host that wrote the line, in milliseconds since the epoch. */
  time: number
  host: string
  event: string
  level: string
  fields: Record<string, string>
}

const PAIR = /([A-Za-z-]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * Parses one line. Text before the first pair, such as a log collector's prefix, is skipped.
 *
 * @returns the entry, or undefined if the line has no event or no valid time
 */
export function parseLogLine (line: string): LogEntry | undefined {
  const fields: Record<string, string> = {}
  for (const [, key, value] of line.matchAll(PAIR)) {
    fields[key!] = value!.startsWith('"') ? unquote(value!) : value!
  }
  const { time, event, host, level, ...rest } = fields
  const at = Date.parse(time ?? '')
  if (event === undefined || Number.isNaN(at)) {
    return undefined
  }
  return { time: at, event, host: host ?? 'unknown', level: level ?? 'info', fields: rest }
}

function unquote (text: string): string {
  try {
    return JSON.parse(text) as string
  } catch {
    // The line was truncated inside a quoted value: keep the rest.
    return text.slice(1)
  }
}
