/**
 * Decides when the leases of a retired host have expired: once this process has seen its retirement for the longest
 * lease. The row can't tell, since the store may carry out the write of a retirement seconds after it was computed, and
 * confirm the leases of the host until then.
 */
import type { KnownHost } from './snapshot.ts'

/** Retirements that this process has seen. */
export interface Retirements {
  /** Records the hosts of a new snapshot. */
  record: (hosts: KnownHost[]) => void
  /** Whether a host is retired and all its leases have expired. */
  haveLeasesExpired: (host: KnownHost) => boolean
}

/**
 * Creates the record without any retirement.
 *
 * @param leaseMs - maximum time that a host may work at primaries after its retirement, in milliseconds
 * @returns the record
 */
export function createRetirements (leaseMs: number): Retirements {
  /** When the retirement that a row shows was first seen, on the monotonic clock, by name and version of the row. */
  let seenAt = new Map<string, number>()
  const keyOf = ({ name, version }: KnownHost): string => `${name} ${version}`
  return {
    record: (hosts) => {
      const now = performance.now()
      const retired = hosts.filter(({ retiredUntilMs }) => retiredUntilMs !== undefined).map(keyOf)
      seenAt = new Map(retired.map((key) => [key, seenAt.get(key) ?? now]))
    },
    haveLeasesExpired: (host) => performance.now() >= (seenAt.get(keyOf(host)) ?? Infinity) + leaseMs
  }
}
