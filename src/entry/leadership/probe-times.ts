/** Timeouts and intervals shared by several steps of a failover, in milliseconds. */

/**
 * Timeout of a probe, which asks an upstream for its role. It covers opening a connection, which takes 12 ms, and
 * waiting for a slot behind statements in progress, which take up to 170 ms.
 */
export const PROBE_TIMEOUT_MS = 300
/** Interval at which a successor is probed. */
export const SUCCESSOR_POLL_INTERVAL_MS = 60
/** Timeout of a request to a host that must stop using a primary, or that holds the promotion lease. */
export const HOST_REQUEST_TIMEOUT_MS = 700
