/**
 * Tracks the existing upstreams by their rows. An upstream whose row is missing is removed after
 * {@link MISSING_GRACE_MS} and another read of the table, since rows also expire during an outage of the store. Rows
 * from before the last restart of an upstream are ignored.
 */
import type { DirectoryEntry } from '../ports/index.ts'

/**
 * Time that an upstream is kept after its row went missing, in milliseconds. Covers the time that upstreams need to
 * write their rows again after an outage of the store, and a read of the table.
 */
const MISSING_GRACE_MS = 2800

/** An upstream of the directory, with the state derived from its rows. */
export interface KnownUpstream extends DirectoryEntry {
  /**
   * When it began to drain at the earliest, on the monotonic clock: the last time at which the store confirmed that it
   * did not. Undefined if it is not draining.
   */
  drainingSince?: number
  /** When its row was first missing, on the monotonic clock; undefined if it has a row. */
  missingSince?: number
}

/** A change to an upstream of the directory. */
export interface DirectoryChange {
  upstream: KnownUpstream
  change: 'appeared' | 'draining' | 'role' | 'missing' | 'back' | 'gone' | 'moved' | 'reborn'
}

export interface UpstreamDirectory {
  /**
   * Applies all rows of the table; upstreams without a row become missing.
   *
   * @param unchangedUntil - when the store last confirmed the rows before, on the monotonic clock; now by default
   */
  replace: (entries: DirectoryEntry[], unchangedUntil?: number) => DirectoryChange[]
  /** Applies changed rows and the keys of removed rows, like `replace`. */
  update: (changed: DirectoryEntry[], removed: string[], unchangedUntil?: number) => DirectoryChange[]
  /** Removes upstreams whose rows have been missing for {@link MISSING_GRACE_MS}. Call it after a read of the table. */
  expire: () => DirectoryChange[]
  /** Whether an upstream's row has been missing long enough to read the table again. */
  hasExpired: () => boolean
  /**
   * Whether an upstream certainly has no row: it was removed, or this process has never seen its row, in which case the
   * row must have been missing for {@link MISSING_GRACE_MS} since the first read of the table.
   *
   * @param upstream - name of the upstream
   * @param confirmedAt - when the store last confirmed the rows, on the monotonic clock
   */
  isGone: (upstream: string, confirmedAt: number) => boolean
  get: (upstream: string) => KnownUpstream | undefined
  ofGroup: (group: string) => KnownUpstream[]
  all: () => KnownUpstream[]
}

export function createUpstreamDirectory (): UpstreamDirectory {
  const upstreams = new Map<string, KnownUpstream>()
  let firstReadAt = Infinity

  const apply = (entry: DirectoryEntry, unchangedUntil: number): DirectoryChange[] => {
    const previous = upstreams.get(entry.upstream)
    const [bornAt, previousBornAt] = [entry.bornAt ?? 0, previous?.bornAt ?? 0]
    if (bornAt < previousBornAt) {
      return []
    }
    const hasRestarted = previous?.bornAt !== undefined && bornAt > previousBornAt
    const previousDrainingSince = hasRestarted ? undefined : previous?.drainingSince
    const earliestDrainingSince = previous === undefined ? performance.now() : unchangedUntil
    const drainingSince = entry.draining ? previousDrainingSince ?? earliestDrainingSince : undefined
    const upstream: KnownUpstream = { ...entry, drainingSince }
    upstreams.set(entry.upstream, upstream)
    if (previous === undefined) {
      return [{ upstream, change: 'appeared' }]
    }
    const moved = previous.endpoint.address !== entry.endpoint.address || previous.endpoint.port !== entry.endpoint.port
    const changes: Array<[DirectoryChange['change'], boolean]> = [
      ['back', previous.missingSince !== undefined],
      ['draining', entry.draining && !previous.draining],
      ['role', entry.claimsPrimary !== previous.claimsPrimary],
      ['moved', moved],
      ['reborn', hasRestarted]
    ]
    return changes.filter(([, applies]) => applies).map(([change]) => ({ upstream, change }))
  }
  const markMissing = (name: string): DirectoryChange[] => {
    const upstream = upstreams.get(name)
    if (upstream === undefined || upstream.missingSince !== undefined) {
      return []
    }
    upstream.missingSince = performance.now()
    return [{ upstream, change: 'missing' }]
  }

  const isExpired = ({ missingSince }: KnownUpstream): boolean =>
    missingSince !== undefined && performance.now() - missingSince >= MISSING_GRACE_MS

  return {
    replace: (entries, unchangedUntil = performance.now()) => {
      firstReadAt = Math.min(firstReadAt, performance.now())
      const present = new Set(entries.map(({ upstream }) => upstream))
      const absent = [...upstreams.keys()].filter((name) => !present.has(name))
      return [...entries.flatMap((entry) => apply(entry, unchangedUntil)), ...absent.flatMap(markMissing)]
    },
    update: (changed, removed, unchangedUntil = performance.now()) =>
      [...changed.flatMap((entry) => apply(entry, unchangedUntil)), ...removed.flatMap(markMissing)],
    expire: () => {
      const expired = [...upstreams.values()].filter(isExpired)
      expired.forEach(({ upstream }) => upstreams.delete(upstream))
      return expired.map((upstream) => ({ upstream, change: 'gone' }))
    },
    hasExpired: () => [...upstreams.values()].some(isExpired),
    isGone: (name, confirmedAt) => !upstreams.has(name) && confirmedAt - firstReadAt >= MISSING_GRACE_MS,
    get: (name) => upstreams.get(name),
    ofGroup: (group) => [...upstreams.values()].filter((upstream) => upstream.group === group),
    all: () => [...upstreams.values()]
  }
}
