/**
 * Decides how long a failover waits for hosts that stay silent.
 *
 * - Inputs: the number of registered hosts and of silent ones, when the epoch was closed, and when the last of the
 *   others stopped (both on the steady clock, in milliseconds).
 * - Rule: with at most {@link SILENT_PART} of the hosts silent, their leases have expired PRIMARY_LEASE_MS after the
 *   last of the others stopped; with more, EXTENDED_LEASE_MS after the closing. LEASE_MARGIN_MS is added to either.
 * - Why: with few silent hosts no majority can extend their leases once the others have stopped; with many, only the
 *   greatest age of a confirmation is a bound.
 */
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'

/**
 * Greatest part of the hosts that may be silent for a promoter to rely on extensions having ended: derived, less than
 * any majority that could still grant them, also when a host knows only half of the others.
 */
const SILENT_PART = 0.25

/** What is known of the hosts while a failover waits for them. */
export interface ClosingProgress {
  /** Hosts that were registered, this one included. */
  hosts: number
  /** Hosts that are not known to have stopped. */
  silent: number
  /** When the last of the others stopped, on the steady clock. */
  lastStoppedAt: number
}

/**
 * When the leases of silent hosts have expired.
 *
 * @param progress - what is known of the hosts
 * @param closedAt - when no host could be confirmed in the epoch any longer, on the steady clock
 * @returns the time on the steady clock, in milliseconds
 */
export function silentLeasesExpireAt ({ hosts, silent, lastStoppedAt }: ClosingProgress, closedAt: number): number {
  return silent <= hosts * SILENT_PART
    ? lastStoppedAt + PRIMARY_LEASE_MS + LEASE_MARGIN_MS
    : closedAt + EXTENDED_LEASE_MS + LEASE_MARGIN_MS
}
