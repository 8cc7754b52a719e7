/**
 * Decides how far the clocks of hosts differ, from pairs of lines of which one caused the other.
 *
 * - Inputs: log lines of all hosts, with times in milliseconds of the epoch.
 * - Rule: a host logs that it stops working at a primary (`leadership.closing`) after the promoter has begun
 *   (`failover.started`) and before the promoter logs the acknowledgement (`leadership.host-closed`). A host whose line
 *   is outside of that interval is shifted to its middle.
 * - Why: clocks of hosts are not synchronised well enough to order lines of different hosts.
 */
import type { LogEntry } from './parse-log.ts'

/**
 * Estimates what must be added to each host's times so that causes come before effects.
 *
 * @param entries - lines of all hosts
 * @returns milliseconds to add, by host; hosts without evidence are missing
 */
export function estimateOffsets (entries: LogEntry[]): Map<string, number> {
  const offsets = new Map<string, number>()
  const starts = entries.filter(({ event }) => event === 'failover.started')
  const noted = entries.filter(({ event, fields }) =>
    event === 'leadership.host-closed' && fields['because'] === 'acknowledged')
  const closings = entries.filter(({ event }) => event === 'leadership.closing')
  for (const closing of closings) {
    const { group, epoch } = closing.fields
    const sameEpoch = (entry: LogEntry): boolean => entry.fields['group'] === group && entry.fields['epoch'] === epoch
    const note = noted.find((entry) => sameEpoch(entry) && entry.fields['peer'] === closing.host)
    const start = starts.find((entry) => sameEpoch(entry) && entry.host === note?.host)
    if (note === undefined || start === undefined || offsets.has(closing.host)) {
      continue
    }
    const own = offsets.get(note.host) ?? 0
    const earliest = start.time + own
    const latest = note.time + own
    const within = closing.time >= earliest && closing.time <= latest
    offsets.set(closing.host, within ? 0 : Math.round((earliest + latest) / 2 - closing.time))
  }
  return offsets
}
