/** The story of one request: its own lines, and the events of its host and its group around it. */
import { estimateOffsets } from './clock-offsets.ts'
import type { LogEntry } from './parse-log.ts'

/** How long before a request began its story looks back, in milliseconds. */
const LOOK_BACK_MS = 12_000
/** How long after its end the story goes on, in milliseconds: a silent upstream is noticed within it, chosen. */
const LOOK_ON_MS = 1500
/** Age of an input beyond which it is reported, in milliseconds: two reads of the registry have failed. */
const OLD_INPUT_MS = 4500

/** A line of the story. */
interface StoryLine {
  /** Time relative to the request's end, with the host's clock corrected, in milliseconds. */
  atMs: number
  entry: LogEntry
  /** Whether it is a line of the request itself. */
  own: boolean
}

/** The story of a request. */
interface Story {
  lines: StoryLine[]
  /** Causes that the lines show, in the order of the lines; old inputs come last. */
  findings: string[]
  /** What was added to the times of other hosts, in milliseconds. */
  offsets: Map<string, number>
}

/** Events of other hosts that concern a group on all hosts. */
const GROUP_EVENTS = /^(failover\.|promotion-lease\.|leadership\.|upstream\.unreachable)/
/** Events of a host that concern all its groups. */
const HOST_EVENTS = /^(store\.|feed\.|leadership\.lease|process\.|desired-state\.|registry\.(registered|host-retired))/

/**
 * Collects the story of a request.
 *
 * @param entries - lines of all processes
 * @param requestId - id of the request
 * @returns the story; no lines when nothing is known of the request
 */
export function tellStory (entries: LogEntry[], requestId: string): Story {
  const own = entries.filter(({ fields }) => fields['id'] === requestId)
  const last = own.at(-1)
  if (last === undefined) {
    return { lines: [], findings: [], offsets: new Map() }
  }
  const offsets = estimateOffsets(entries)
  const timeOf = ({ time, host }: LogEntry): number => time + (offsets.get(host) ?? 0)
  const end = timeOf(last)
  const from = end - Number(last.fields['ms'] ?? 0) - LOOK_BACK_MS
  const group = own.find(({ fields }) => fields['group'] !== undefined)?.fields['group']
  const belongs = (entry: LogEntry): boolean => {
    const sameGroup = group !== undefined && entry.fields['group'] === group && entry.fields['id'] === undefined
    const sameHost = entry.host === last.host
    return (sameGroup && (sameHost || GROUP_EVENTS.test(entry.event))) || (sameHost && HOST_EVENTS.test(entry.event))
  }
  const around = entries.filter((entry) =>
    !own.includes(entry) && timeOf(entry) >= from && timeOf(entry) <= end + LOOK_ON_MS && belongs(entry))
  const lines = [...own, ...around]
    .map((entry) => ({ atMs: Math.round(timeOf(entry) - end), entry, own: own.includes(entry) }))
    .sort((left, right) => left.atMs - right.atMs)
  return { lines, findings: findCauses(lines, last), offsets }
}

/** Describes the cause that a line shows; undefined when it shows none. */
type Finder = (line: StoryLine, last: LogEntry) => string | undefined

const FINDERS: Record<string, Finder> = {
  'failover.started': ({ atMs, entry: { host, fields } }) =>
    `${atMs} ms: ${host} began to replace primary ${fields['primary']} of the group: ${fields['reason']}`,
  'failover.no-successor': ({ atMs }) => `${atMs} ms: no upstream could be promoted`,
  'leadership.host-closed': ({ atMs, entry: { fields } }) => Number(fields['waitedMs']) > 1000
    ? `${atMs} ms: the failover waited ${fields['waitedMs']} ms for host ${fields['peer']} (${fields['because']})`
    : undefined,
  'upstream.unreachable': ({ atMs, entry: { host, fields } }, last) =>
    host === last.host || fields['upstream'] === last.fields['upstream']
      ? `${atMs} ms: ${host} lost upstream ${fields['upstream']}: ${fields['fault']}`
      : undefined,
  'store.lost': ({ atMs, entry: { host } }, last) =>
    host === last.host ? `${atMs} ms: the store did not answer this host` : undefined,
  'leadership.lease-expired': ({ atMs, entry: { host, fields } }, last) => host === last.host
    ? `${atMs} ms: this host had no lease on primaries: its confirmation was ${fields['confirmedAgeMs']} ms old`
    : undefined,
  'leadership.aborted': ({ atMs, entry: { host, fields } }, last) => host === last.host
    ? `${atMs} ms: this host broke off what was in progress at ${fields['upstream']}: ${fields['reason']}`
    : undefined,
  'read.repeated': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: upstream ${fields['upstream']} did not serve it (${fields['reason']}, floor ${fields['floor']})`,
  'write.repeated': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: upstream ${fields['upstream']} did not run it (${fields['reason']})`,
  'read.upstream-unavailable': ({ atMs, entry: { fields } }) =>
    `${atMs} ms: no connection to ${fields['upstream']}: ${fields['reason']}`,
  'request.failed': ({ atMs, own, entry: { fields } }) => own
    ? `${atMs} ms: answered ${fields['outcome']} after ${fields['ms']} ms: ${fields['reason']}`
    : undefined
}

function findCauses (lines: StoryLine[], last: LogEntry): string[] {
  const found = lines.flatMap((line) => FINDERS[line.entry.event]?.(line, last) ?? [])
  const old = lines.filter(({ entry }) => Number(entry.fields['confirmedAgeMs']) > OLD_INPUT_MS && entry.host === last.host)
    .filter(({ atMs, entry }) => atMs > -OLD_INPUT_MS && Number.isFinite(Number(entry.fields['confirmedAgeMs'])))
    .map(({ atMs, entry }) => `${atMs} ms: an old input: confirmed ${entry.fields['confirmedAgeMs']} ms before`)
  return [...new Set([...found, ...old])]
}

/**
 * Formats a story for a reader.
 *
 * @param story - the story
 * @returns its lines, then the findings
 */
export function formatStory ({ lines, findings, offsets }: Story): string {
  const shown = lines.map(({ atMs, entry: { host, event, fields }, own }) => {
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${/\s/.test(value) ? JSON.stringify(value) : value}`)
    return `${own ? '>' : ' '} ${String(atMs).padStart(7)} ms ${host} ${event} ${pairs.join(' ')}`
  })
  const shifted = [...offsets].filter(([, offset]) => offset !== 0)
    .map(([host, offset]) => `the clock of ${host} was taken to be ${-offset} ms ahead`)
  return [...shown, '', 'what the lines show:', ...findings.map((finding) => `- ${finding}`), ...shifted, ''].join('\n')
}
