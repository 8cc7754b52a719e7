/** Collects a request's log lines, with the events of its host and its database group around the same time. */
import { ownValue } from '../core/own-value.ts'
import { estimateOffsets } from './clock-offsets.ts'
import type { LogEntry } from './parse-log.ts'

/** Time before the request began from which events are included, in milliseconds. */
const CONTEXT_BEFORE_MS = 12_000
/** Time after the request ended until which events are included, in milliseconds. */
const CONTEXT_AFTER_MS = 1500
/** Age above which the input of a decision is reported as stale, in milliseconds. */
const STALE_INPUT_MS = 4500

/** A log line of a trace. */
interface TraceLine {
  /** Time relative to the end of the request, after clock correction, in milliseconds. */
  atMs: number
  entry: LogEntry
  /** Whether the line carries the id of the request. */
  own: boolean
}

/** A request's log lines and the causes found in them. */
interface RequestTrace {
  lines: TraceLine[]
  /** Descriptions of likely causes, in the order of the lines; stale inputs come last. */
  findings: string[]
  /** Clock correction by host, in milliseconds. */
  offsets: Map<string, number>
}

/** Events that are included from all hosts if they concern the request's group. */
const GROUP_EVENTS = /^(failover\.|promotion-lease\.|leadership\.|upstream\.unreachable)/
/** Events that are included from the request's host, whatever their group. */
const HOST_EVENTS = /^(store\.|feed\.|leadership\.lease|process\.|desired-state\.|registry\.(registered|host-retired))/

/**
 * Collects the log lines that concern a request.
 *
 * @param entries - log entries of all processes
 * @returns the trace; it has no lines if no entry carries the request's id
 */
export function traceRequest (entries: LogEntry[], requestId: string): RequestTrace {
  const own = entries.filter(({ fields }) => fields['id'] === requestId)
  const last = own.at(-1)
  if (last === undefined) {
    return { lines: [], findings: [], offsets: new Map() }
  }
  const offsets = estimateOffsets(entries)
  const timeOf = ({ time, host }: LogEntry): number => time + (offsets.get(host) ?? 0)
  const end = timeOf(last)
  const start = end - Number(last.fields['ms'] ?? 0) - CONTEXT_BEFORE_MS
  const group = own.find(({ fields }) => fields['group'] !== undefined)?.fields['group']
  const isRelated = (entry: LogEntry): boolean => {
    const sameGroup = group !== undefined && entry.fields['group'] === group && entry.fields['id'] === undefined
    const sameHost = entry.host === last.host
    return (sameGroup && (sameHost || GROUP_EVENTS.test(entry.event))) || (sameHost && HOST_EVENTS.test(entry.event))
  }
  const surrounding = entries.filter((entry) =>
    !own.includes(entry) && timeOf(entry) >= start && timeOf(entry) <= end + CONTEXT_AFTER_MS && isRelated(entry))
  const lines = [...own, ...surrounding]
    .map((entry) => ({ atMs: Math.round(timeOf(entry) - end), entry, own: own.includes(entry) }))
    .sort((left, right) => left.atMs - right.atMs)
  return { lines, findings: findCauses(lines, last), offsets }
}

/** Describes the cause that a line of this event indicates, or returns undefined. */
type CauseDescription = (line: TraceLine, last: LogEntry) => string | undefined

const CAUSE_DESCRIPTIONS: Record<string, CauseDescription> = {
  'failover.started': ({ atMs, entry: { host, fields } }) =>
    `${atMs} ms: ${host} began to replace primary ${fields['primary']} of the group: ${fields['reason']}`,
  'failover.no-successor': ({ atMs }) => `${atMs} ms: no upstream could be promoted`,
  'leadership.host-stopped': ({ atMs, entry: { fields } }) => Number(fields['waitedMs']) > 1000
    ? `${atMs} ms: the failover waited ${fields['waitedMs']} ms for host ${fields['peer']} (${fields['because']})`
    : undefined,
  'upstream.unreachable': ({ atMs, entry: { host, fields } }, last) =>
    host === last.host || fields['upstream'] === last.fields['upstream']
      ? `${atMs} ms: ${host} lost upstream ${fields['upstream']}: ${fields['fault']}`
      : undefined,
  'store.unavailable': ({ atMs, entry: { host } }, last) =>
    host === last.host ? `${atMs} ms: the store did not answer this host` : undefined,
  'leadership.lease-expired': ({ atMs, entry: { host, fields } }, last) => host === last.host
    ? `${atMs} ms: this host's lease on primaries had expired: last confirmed ${fields['confirmedAgeMs']} ms earlier`
    : undefined,
  'leadership.aborted': ({ atMs, entry: { host, fields } }, last) => host === last.host
    ? `${atMs} ms: this host aborted the work in progress at ${fields['upstream']}: ${fields['reason']}`
    : undefined,
  'read.retried': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: upstream ${fields['upstream']} did not serve the read (${fields['reason']}, floor ${fields['floor']})`,
  'write.retried': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: upstream ${fields['upstream']} did not run the write (${fields['reason']})`,
  'read.upstream-unavailable': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: no connection to ${fields['upstream']}: ${fields['reason']}`,
  'request.failed': ({ atMs, own, entry: { fields } }) => own
    ? `${atMs} ms: answered ${fields['outcome']} after ${fields['ms']} ms: ${fields['reason']}`
    : undefined
}

function findCauses (lines: TraceLine[], last: LogEntry): string[] {
  const causes = lines.flatMap((line) => ownValue(CAUSE_DESCRIPTIONS, line.entry.event)?.(line, last) ?? [])
  const staleInputs = lines.filter(({ entry }) => Number(entry.fields['confirmedAgeMs']) > STALE_INPUT_MS && entry.host === last.host)
    .filter(({ atMs, entry }) => atMs > -STALE_INPUT_MS && Number.isFinite(Number(entry.fields['confirmedAgeMs'])))
    .map(({ atMs, entry }) => `${atMs} ms: stale input: last confirmed ${entry.fields['confirmedAgeMs']} ms earlier`)
  return [...new Set([...causes, ...staleInputs])]
}

/**
 * Formats a trace as text.
 *
 * @returns the log lines, then the findings and the corrected clocks; `>` marks lines of the request itself
 */
export function formatTrace ({ lines, findings, offsets }: RequestTrace): string {
  const shown = lines.map(({ atMs, entry: { host, event, fields }, own }) => {
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${/\s/.test(value) ? JSON.stringify(value) : value}`)
    return `${own ? '>' : ' '} ${String(atMs).padStart(7)} ms ${host} ${event} ${pairs.join(' ')}`
  })
  const shifted = [...offsets].filter(([, offset]) => offset !== 0)
    .map(([host, offset]) => `the clock of ${host} was taken to be ${-offset} ms ahead`)
  return [...shown, '', 'what the lines show:', ...findings.map((finding) => `- ${finding}`), ...shifted, ''].join('\n')
}
