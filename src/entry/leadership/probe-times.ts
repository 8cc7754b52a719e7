/** Times for asking upstreams and hosts that several steps of a failover share, in milliseconds. */

/**
 * Time that an upstream has to report its role, in milliseconds: the question waits for a slot behind the few
 * statements that are let through to an upstream, which take up to 170 ms; opening a connection takes 12 ms.
 */
export const PROBE_MS = 300
/** Time between two probes of a successor. */
export const SUCCESSOR_POLL_MS = 60
/** Time of one try to reach a host that must stop working at a primary, or holds the lease. */
export const REACH_HOST_MS = 700
