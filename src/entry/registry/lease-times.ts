/**
 * How long a confirmation by the registry may be relied on, in milliseconds. Leases on primaries, failovers, and the
 * retirement of hosts all count with these.
 */

/**
 * Time for which a host goes on working at a primary after a confirmation by the store or an extension by its peers,
 * counted from sending the question. Two reads of the registry fit into it. A shorter one makes a failover quicker
 * while a host is silent, but costs more calls to the store.
 */
export const PRIMARY_LEASE_MS = 3000
/**
 * Greatest age of the last confirmation by the store with which extensions still count: longer than an ordinary outage
 * of the store, which lasts some seconds.
 */
export const EXTENDED_LEASE_MS = 15_000
/** What a promoter waits beyond a lease: statements that are sent at its end are aborted within it. */
export const LEASE_MARGIN_MS = 600
