/**
 * The time in which a change in the store must be in force on every host, and its parts. It holds for any number of
 * hosts, also if all open connections go silent at once: a host whose knowledge has the age {@link STALE_AFTER_MS}
 * reads the store itself. The other ways by which a host learns of a change only save calls to the store.
 */

/** Time from the store's answer to a change until every host decides by it, in milliseconds. */
export const CHANGE_IN_FORCE_MS = 3000
/** Time after which a read of the store on an old connection is repeated on a new one, in milliseconds. */
export const READ_REPEAT_MS = 400
/** Time for a read of the store on a new connection, with its handling on a busy host, in milliseconds. */
export const FRESH_READ_MS = 300
/** Reads in a row that bring a host up to date: the registry, then all followed tables together. */
export const READS_IN_A_ROW = 2
/** Delay of a timer on a busy host, in milliseconds. */
export const TIMER_DELAY_MS = 100

/**
 * Age of a host's knowledge from which it reads the store itself, in milliseconds. Silent connections delay one of the
 * reads, since the repetition discards the idle ones.
 */
export const STALE_AFTER_MS =
  CHANGE_IN_FORCE_MS - TIMER_DELAY_MS - READ_REPEAT_MS - READS_IN_A_ROW * FRESH_READ_MS
