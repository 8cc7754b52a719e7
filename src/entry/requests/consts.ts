/** Times and limits of serving callers; times in milliseconds. */

/**
 * Time without any answer of an upstream after which a statement there makes it suspect: ten times an ordinary one. It
 * is then asked, which costs one of its slots for 12 ms when it is only slow.
 */
export const SILENCE_MS = 300
/** Part of a route's timeout for which a request waits for a primary, or for a connection, before it is refused. */
export const WAIT_SHARE = 0.45
/**
 * Part of the time that is left for an answer in time for which a request waits for a connection. Measured at an
 * overloaded primary: who waits longer is late, and makes those behind late too.
 */
export const QUEUE_SHARE = 0.5
/** Least time for which a request waits for a connection, in milliseconds: opening one takes 12 ms and a round trip. */
export const QUEUE_LEAST_MS = 40
/** Upstreams or tries that a read may use. */
export const READ_ATTEMPTS = 6
/** Tries of a write that has certainly not run. */
export const WRITE_ATTEMPTS = 6
/** Pause before a statement is repeated that an upstream did not run. */
export const NOT_RUN_PAUSE_MS = 25
/** Time after which callers are told to come back when no primary is there: about the length of a promotion. */
export const RETRY_AFTER_MS = 300
/**
 * Time that a request waits for the first desired state of a process that has just started, in milliseconds: some reads
 * of the store. After a loss of power of 71 hosts, 643 requests were told that their database is not declared.
 */
export const STATE_WAIT_MS = 400
/** Time for which a transaction may rest while no desired state is known, in milliseconds. */
export const UNKNOWN_IDLE_MS = 3000
/**
 * Time of a request that is kept for the statement itself while it waits for a primary, in milliseconds: the longest
 * ordinary statement takes 170 ms, and few do.
 */
export const ANSWER_RESERVE_MS = 100
/**
 * Time that a home waits for the version of the desired state by which a statement was passed on, in milliseconds: one
 * read of the store, and then another home may have it.
 */
export const REACH_VERSION_MS = 40
/** Time that a rollback may take before the connection is closed instead. */
export const ROLLBACK_MS = 1500
/** Time after the order to stop at which idle sessions are ended; the balancer has noticed by then. */
export const STOP_IDLE_MS = 2200
/** Time before the kill at which everything left is ended. */
export const STOP_RESERVE_MS = 900
/** Time without a request after which a session is ended while stopping; callers send the next one sooner or later. */
export const STOP_QUIET_MS = 150
/** Time between two looks at the sessions while stopping. */
export const STOP_POLL_MS = 50
/** Time of `drainMs` that is kept back, so that what is under way still arrives before its end. */
export const DRAIN_RESERVE_MS = 1500
