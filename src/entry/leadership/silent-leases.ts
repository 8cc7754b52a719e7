/**
 * Decides how long a failover waits for hosts that do not answer. Once at most {@link MAXIMUM_SILENT_FRACTION} of the
 * hosts are silent, no majority can extend their leases, which expire PRIMARY_LEASE_MS after the stop that left so few.
 * Until then only the maximum age of a confirmation is a bound: EXTENDED_LEASE_MS after the closing. LEASE_MARGIN_MS is
 * added to either.
 */
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'

/**
 * Maximum fraction of silent hosts at which a promoter can rely on leases not being extended. It is below any majority
 * that could grant an extension, even if a host knows only half of the others.
 */
const MAXIMUM_SILENT_FRACTION = 0.25

/** State of the hosts while a failover waits for them to stop. */
export interface ClosingProgress {
  /** Number of registered hosts, including this one. */
  hosts: number
  /** Number of hosts that are not known to have stopped. */
  silent: number
  /** Time of the last stop that was needed for few hosts to be silent, on the monotonic clock, in milliseconds. */
  lastStoppedAt: number
}

/**
 * Whether so few hosts are silent that no majority can extend their leases.
 *
 * @param progress - number of hosts, and of those that are silent
 * @returns whether at most {@link MAXIMUM_SILENT_FRACTION} of them are silent
 */
export function areFewSilent ({ hosts, silent }: Pick<ClosingProgress, 'hosts' | 'silent'>): boolean {
  return silent <= hosts * MAXIMUM_SILENT_FRACTION
}

/**
 * Returns the time at which the leases of silent hosts have expired.
 *
 * @param progress - state of the hosts
 * @param closedAt - time from which no host could confirm a lease in the epoch, on the monotonic clock
 * @returns the time on the monotonic clock, in milliseconds
 */
export function silentLeasesExpireAt ({ hosts, silent, lastStoppedAt }: ClosingProgress, closedAt: number): number {
  return areFewSilent({ hosts, silent })
    ? lastStoppedAt + PRIMARY_LEASE_MS + LEASE_MARGIN_MS
    : closedAt + EXTENDED_LEASE_MS + LEASE_MARGIN_MS
}
