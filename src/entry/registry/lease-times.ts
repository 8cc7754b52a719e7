/** How long what the registry has confirmed may be relied on, in milliseconds. */

/**
 * Time for which a host goes on working at a primary after a confirmation by the store or an extension by its peers,
 * counted from sending the question. Two reads of the registry fit into it. Shorter makes a failover quicker while a
 * host is silent, but costs more calls to the store.
 */
export const PRIMARY_LEASE_MS = 3000
/**
 * Greatest age of the last confirmation by the store with which extensions still count: longer than an ordinary outage
 * of the store, which lasts some seconds.
 */
export const EXTENDED_LEASE_MS = 15_000
/** What a promoter waits beyond a right: statements that are sent at the last moment are broken off within it. */
export const LEASE_MARGIN_MS = 600
