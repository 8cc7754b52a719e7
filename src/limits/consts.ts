/** Figures of limits; times in milliseconds. */

/**
 * Greatest number of operations with which a host begins to keep a limit. It cannot know what was granted just before
 * by another, so it begins with few: two beginnings in one window stay within half of what a limit may be exceeded by.
 */
export const FIRST_ALLOWANCE = 5
/**
 * Part of the rate at which a host that has just begun to keep a limit grants, and for how long, in milliseconds: lists
 * of hosts are the same everywhere within a second, and until then some ask the host that kept it before.
 */
export const BEGINNING = { part: 0.5, lastsMs: 1500 } as const
/**
 * Time without a question after which a host grants no more than it began with, in milliseconds: it may have stood
 * still or been cut off meanwhile, while another host kept the limit. Large organisations ask far more often.
 */
export const UNASKED_MS = 1000
/**
 * Time for which a host asks ahead, in milliseconds, and for which what it was granted is good: a host with a hundred
 * operations a second of one organisation asks five times a second for it, and one with few asks for each.
 */
export const AHEAD_MS = 200
/** Time in which the memory of how often an organisation asks here halves, in milliseconds. */
export const RATE_HALF_LIFE_MS = 500
/** Time that the host which keeps a limit has to answer, in milliseconds: as long as a home has. */
export const ASK_MS = 200
/** Hosts that are asked for one grant; each silent one costs the caller {@link ASK_MS}. */
export const HOSTS_ASKED = 2
/** Greatest time for which callers are told to stay away, in milliseconds: a limit may be raised meanwhile. */
export const STAY_AWAY_MS = 2000
/**
 * Greatest time for which a host refuses an organisation without asking again, in milliseconds. Callers that ask less
 * than before are served again so soon; the hosts of one that asks far too much ask its keeper 2.5 times a second each.
 */
export const REFUSED_HERE_MS = 400
/** When callers come back after no host could say what a limit leaves, in milliseconds: another is asked by then. */
export const NOBODY_KNOWS_MS = 300
/** Time that the host which keeps a limit waits for the desired state by which it was asked, in milliseconds. */
export const REACH_VERSION_MS = 40
/** Organisations that metrics name; the rest stands together. */
export const NAMED_IN_METRICS = 10
