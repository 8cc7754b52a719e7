/** Reads log lines back: `key=value` pairs, values with blanks in quotes. */

/** A line of a log. */
export interface LogEntry {
  /** Time of day of the host that wrote it, in milliseconds of the epoch. */
  time: number
  host: string
  event: string
  level: string
  fields: Record<string, string>
}

const PAIR = /([A-Za-z-]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * Reads one line. What stands before the first pair, such as the prefix of a collector, is skipped.
 *
 * @param line - the line
 * @returns the entry; undefined when it is not a line of worksward's log
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
    // The line was cut in the middle of a quoted value: what is left of it is still useful to a reader.
    return text.slice(1)
  }
}
