/**
 * Estimates clock differences between hosts, since unsynchronised clocks make log lines appear out of order. A host's
 * `leadership.closing` must fall between the promoting host's `failover.started` and `leadership.host-stopped`; if it
 * doesn't, the host's clock is shifted so that it falls in the middle.
 */
import type { LogEntry } from './parse-log.ts'

/**
 * Estimates the correction of each host's clock.
 *
 * @param entries - log entries of all hosts
 * @returns milliseconds to add, by host; hosts that took part in no failover are missing
 */
export function estimateOffsets (entries: LogEntry[]): Map<string, number> {
  const offsets = new Map<string, number>()
  const starts = entries.filter(({ event }) => event === 'failover.started')
  const acknowledgements = entries.filter(({ event, fields }) =>
    event === 'leadership.host-stopped' && fields['because'] === 'acknowledged')
  const closings = entries.filter(({ event }) => event === 'leadership.closing')
  for (const closing of closings) {
    const { group, epoch } = closing.fields
    const sameEpoch = (entry: LogEntry): boolean => entry.fields['group'] === group && entry.fields['epoch'] === epoch
    const acknowledgement = acknowledgements.find((entry) => sameEpoch(entry) && entry.fields['peer'] === closing.host)
    const start = starts.find((entry) => sameEpoch(entry) && entry.host === acknowledgement?.host)
    if (acknowledgement === undefined || start === undefined || offsets.has(closing.host)) {
      continue
    }
    const ownOffset = offsets.get(acknowledgement.host) ?? 0
    const earliest = start.time + ownOffset
    const latest = acknowledgement.time + ownOffset
    const isWithin = closing.time >= earliest && closing.time <= latest
    offsets.set(closing.host, isWithin ? 0 : Math.round((earliest + latest) / 2 - closing.time))
  }
  return offsets
}
