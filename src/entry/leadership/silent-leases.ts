/**
 * Decides how long a failover waits for hosts that stay silent.
 *
 * - Inputs: the number of registered hosts and of silent ones, when the epoch was closed, and when the last host
 *   stopped without which too many would have been left (both on the steady clock, in milliseconds).
 * - Rule: with at most {@link SILENT_PART} of the hosts silent, their leases have expired PRIMARY_LEASE_MS after that
 *   host stopped; with more, EXTENDED_LEASE_MS after the closing. LEASE_MARGIN_MS is added to either.
 * - Why: once few hosts are left no majority can extend their leases, whenever the next of them stops; with many, only
 *   the greatest age of a confirmation is a bound.
 */
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'

/**
 * Greatest part of the hosts that may be silent for a promoter to rely on extensions having ended: less than any
 * majority that could still grant them, also when a host knows only half of the others.
 */
const SILENT_PART = 0.25

/** What is known of the hosts while a failover waits for them. */
export interface ClosingProgress {
  /** Hosts that were registered, this one included. */
  hosts: number
  /** Hosts that are not known to have stopped. */
  silent: number
  /** When the last host stopped that had to, for few to be left, on the steady clock. */
  lastStoppedAt: number
}

/**
 * Reports whether so few hosts are left that no majority can extend their leases.
 *
 * @param progress - the hosts, and those that are not known to have stopped
 * @returns whether they are
 */
export function areFewSilent ({ hosts, silent }: Pick<ClosingProgress, 'hosts' | 'silent'>): boolean {
  return silent <= hosts * SILENT_PART
}

/**
 * When the leases of silent hosts have expired.
 *
 * @param progress - what is known of the hosts
 * @param closedAt - when no host could be confirmed in the epoch any longer, on the steady clock
 * @returns the time on the steady clock, in milliseconds
 */
export function silentLeasesExpireAt ({ hosts, silent, lastStoppedAt }: ClosingProgress, closedAt: number): number {
  return areFewSilent({ hosts, silent })
    ? lastStoppedAt + PRIMARY_LEASE_MS + LEASE_MARGIN_MS
    : closedAt + EXTENDED_LEASE_MS + LEASE_MARGIN_MS
}
