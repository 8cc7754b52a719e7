/**
 * Decides how long a failover waits for hosts that do not answer. An extension lasts for PRIMARY_LEASE_MS, also one
 * that revives a lease, so once no majority can grant one, the leases of silent hosts expire that long after the stop
 * that left so few of them. EXTENDED_LEASE_MS after the closing they have expired in any case. LEASE_MARGIN_MS is
 * added.
 *
 * Only silent hosts can still grant an extension in the closed epoch. A host that has stopped by its answer or its row
 * names the epoch in each grant. A process grants only while it is registered, so one that registered after the closing
 * has seen the closed row, one that removes its own row grants nothing any more, and one whose retirement has ended has
 * a confirmation that is too old.
 *
 * The requester counts all rows of its snapshot. While the snapshot shows at least as many stopped hosts as hosts are
 * silent, silent hosts are no majority of it. It shows a row that has stood since before any silent host registered,
 * because it shows the requester's registration. A snapshot that does not show another row is older than the row, and
 * so is the requester's confirmation: its leases expire EXTENDED_LEASE_MS after the row was first seen.
 */
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { RowStanding } from '../registry/index.ts'

/** State of the hosts after one of them has stopped. */
interface ClosingState {
  /** Number of hosts that are not known to have stopped. */
  silent: number
  /**
   * Times since which the snapshots of silent hosts show the rows of the stopped hosts, on the monotonic clock, in
   * milliseconds; -Infinity for a row that all of them show.
   */
  stoppedSince: number[]
  /** Time of the stop, on the monotonic clock, in milliseconds. */
  stoppedAt: number
}

/** Progress of the stop of all hosts. */
export interface ClosingProgress {
  /** Records that a host has stopped; one whose lease has expired may still grant extensions and is not recorded. */
  recordStop: (name: string) => void
  /** Time at which the leases of silent hosts have expired, on the monotonic clock, in milliseconds. */
  leasesExpireAt: () => number
}

/**
 * Returns the time at which the leases of silent hosts have expired, because no majority can extend them.
 *
 * @param state - state of the hosts
 * @returns the time on the monotonic clock, in milliseconds; Infinity while too few hosts have stopped
 */
export function silentLeasesExpireAt ({ silent, stoppedSince, stoppedAt }: ClosingState): number {
  const shownSince = [-Infinity, ...[...stoppedSince].sort((left, right) => left - right)][silent] ?? Infinity
  return Math.max(stoppedAt + PRIMARY_LEASE_MS, shownSince + EXTENDED_LEASE_MS) + LEASE_MARGIN_MS
}

/** Options of {@link trackClosing}. */
interface TrackOptions {
  /** This host, which has stopped. */
  self: string
  /** Names of all other registered hosts. */
  others: string[]
  standingOf: (name: string) => RowStanding | undefined
  /** Time from which no host could confirm a lease in the epoch, on the monotonic clock. */
  closedAt: number
}

/**
 * Tracks which hosts have stopped. The standing of the rows is that at the time of the call.
 *
 * @param options - the hosts and their rows
 * @returns the progress
 */
export function trackClosing ({ self, others, standingOf, closedAt }: TrackOptions): ClosingProgress {
  const standings = new Map([self, ...others].map((name) => [name, standingOf(name)]))
  const silent = new Set(others)

  const expiryAfterStop = (stoppedAt: number): number => {
    const firstRegistered = Math.min(...[...silent].map((name) => standings.get(name)?.registeredVersion ?? 0))
    const stoppedSince = [...standings].filter(([name]) => !silent.has(name)).map(([, standing]) =>
      standing === undefined ? Infinity : standing.sinceVersion <= firstRegistered ? -Infinity : standing.since)
    return silentLeasesExpireAt({ silent: silent.size, stoppedSince, stoppedAt })
  }
  // Each stop yields a bound that holds from then on, so a later stop does not prolong the wait.
  let expireAt = Math.min(closedAt + EXTENDED_LEASE_MS + LEASE_MARGIN_MS, expiryAfterStop(closedAt))
  return {
    recordStop: (name) => {
      silent.delete(name)
      expireAt = Math.min(expireAt, expiryAfterStop(performance.now()))
    },
    leasesExpireAt: () => expireAt
  }
}
