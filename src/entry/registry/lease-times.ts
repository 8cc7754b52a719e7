/** Lease durations, in milliseconds, used for leases on primaries, failovers and the retirement of hosts. */

/**
 * Time that a host may work at a primary after a confirmation by the store or an extension by its peers, counted from
 * sending the request. Covers two reads of the registry. A shorter lease speeds up the failover from a silent host, but
 * costs more calls to the store.
 */
export const PRIMARY_LEASE_MS = 3000
/** Maximum age of the last confirmation by the store for which peers extend leases; longer than a usual outage. */
export const EXTENDED_LEASE_MS = 15_000
/** Extra time that a failover waits after a lease expires, in which statements sent at its end are aborted. */
export const LEASE_MARGIN_MS = 600
