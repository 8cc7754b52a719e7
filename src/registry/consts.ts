/** How long what the registry has confirmed may be relied on, in milliseconds. */

/**
 * Time for which a host goes on working at a primary without a confirmation by the store, counted from sending the
 * question. Longer outlasts longer outages of the store; shorter makes a failover quicker when a host is silent.
 */
export const RIGHT_MS = 10_000
/** What a promoter waits beyond {@link RIGHT_MS}: statements that are sent at the last moment end within it. */
export const RIGHT_MARGIN_MS = 1000
