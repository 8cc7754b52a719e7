/** How many connections to an upstream a host may have: its part of what the upstream takes from all hosts together. */

/** Connections to an upstream that are assumed while its cap is unknown. */
const UNKNOWN_CAP = 10
/** Hosts that are assumed before the registry has been read; more than any installation has per connection. */
const UNKNOWN_HOSTS = 12
/**
 * Part of its share that a host keeps open when idle. Connections of hosts that lose power count at the upstream for
 * some seconds; with half of them free, all hosts can be back at once.
 */
const KEPT_PART = 0.5
/** Connections that a host may open beyond its share while they are needed; the upstream refuses what is too much. */
const BURST_CONNECTIONS = 2
/**
 * Time after its start in which a host opens no more than it keeps when idle, in milliseconds: when all hosts have lost
 * power, the connections of their former lives count at the upstreams for 3 s, and who opens more takes it from others.
 */
export const MODEST_START_MS = 4000

/** Connections that a host may have. */
export interface ConnectionLimits {
  /** Kept open when idle. */
  kept: number
  /** Its part of all that the upstream takes. */
  share: number
  /** May be opened beyond the share, while the upstream has room. */
  burst: number
}

/**
 * Computes the limits of this host.
 *
 * @param cap - connections that the upstream takes from all hosts; undefined while unknown
 * @param hosts - hosts that are there; 0 while unknown
 * @param uptimeMs - time since this process started, in milliseconds
 * @returns the limits
 */
export function connectionLimits (cap: number | undefined, hosts: number, uptimeMs: number): ConnectionLimits {
  const perHost = (cap ?? UNKNOWN_CAP) / (hosts === 0 ? UNKNOWN_HOSTS : hosts)
  const kept = Math.max(1, Math.floor(perHost * KEPT_PART))
  return uptimeMs < MODEST_START_MS
    ? { kept, share: kept, burst: 0 }
    : { kept, share: Math.max(1, Math.floor(perHost)), burst: BURST_CONNECTIONS }
}
