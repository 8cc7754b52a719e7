/**
 * Tracks since when the row of each host has stood without a gap, so that a promoter knows which rows the older
 * snapshot of another host shows. A row that is replaced stands; one that was removed and written again does not. All
 * values err on the safe side: a change that may hide a removal counts as a new row.
 */
import { EXTENDED_LEASE_MS } from './lease-times.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'

/**
 * Maximum time between a sighting of a process and one of its row as retired, in milliseconds. A process that registers
 * within this time is not retired before it ends.
 */
const RETIREMENT_GAP_MS = 2000

/** What this host knows about the row of a host. */
export interface RowStanding {
  /** Time since which the row has stood at the latest, on the monotonic clock, in milliseconds. */
  since: number
  /** Version of the table since which the row has stood at the latest. */
  sinceVersion: number
  /** Version of the table at which the process registered at the earliest; 0 if unknown. */
  registeredVersion: number
}

interface SeenRow extends RowStanding {
  version: number
  /** Last process that the row showed, also of a retired row if it is known. */
  process: string
  /** Time at which the row showed that process last at the earliest, on the monotonic clock. */
  processSeenAt: number
}

/** Standing of all rows. */
export interface RowStandings {
  /** Records an accepted snapshot. */
  record: (snapshot: Pick<RegistrySnapshot, 'hosts' | 'askedAt'>) => void
  /** Returns the standing of a host's row; undefined if there is none. */
  of: (name: string) => RowStanding | undefined
}

/** Whether the row cannot have been removed between the two sightings. */
function hasStood (seen: SeenRow, host: KnownHost): boolean {
  const gapMs = performance.now() - seen.processSeenAt
  if (host.version === seen.version || host.replaces === seen.version) {
    return true
  }
  // A process does not register again after it has removed its row, and peers remove only rows retired for long.
  return host.retiredUntilMs === undefined
    ? host.process === seen.process && gapMs < EXTENDED_LEASE_MS
    : gapMs < RETIREMENT_GAP_MS
}

/** Version at which the last process of a row registered; a row that was written since does not show it. */
function registeredVersionOf (host: KnownHost, seen: SeenRow | undefined, stood: boolean): number {
  const isRetired = host.retiredUntilMs !== undefined
  if (!isRetired && host.stopped === undefined && host.leaving === undefined) {
    return host.version
  }
  return seen !== undefined && stood && (isRetired || host.process === seen.process) ? seen.registeredVersion : 0
}

function observe (host: KnownHost, seen: SeenRow | undefined, askedAt: number): SeenRow {
  const stood = seen !== undefined && hasStood(seen, host)
  const isRetired = host.retiredUntilMs !== undefined
  return {
    since: stood ? seen.since : performance.now(),
    sinceVersion: stood ? seen.sinceVersion : host.replaces ?? host.version,
    registeredVersion: registeredVersionOf(host, seen, stood),
    version: host.version,
    process: isRetired && stood ? seen.process : host.process,
    processSeenAt: isRetired ? (stood ? seen.processSeenAt : -Infinity) : askedAt
  }
}

/**
 * Creates the record of the rows' standing.
 *
 * @returns the record, which knows no row
 */
export function createRowStandings (): RowStandings {
  let rows = new Map<string, SeenRow>()
  return {
    record: ({ hosts, askedAt }) => {
      rows = new Map(hosts.map((host) => [host.name, observe(host, rows.get(host.name), askedAt)]))
    },
    of: (name) => rows.get(name)
  }
}
