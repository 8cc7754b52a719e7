/** Figures of limits; times in milliseconds. */

/**
 * Part of the pace at which a host grants that stands in for a silent one, and one that has just come to be the first,
 * and how long the latter holds back, in milliseconds: lists of hosts are the same everywhere within a second, and
 * until then some hosts ask the one that kept the limit before. With the whole pace, hosts that were cut in two granted
 * 171 operations in a window of 152. Organisations use half of the pace; the rest of a second costs a twentieth of it.
 */
export const STANDING_IN = { part: 0.25, beginningMs: 1500 } as const
/**
 * Time without a question after which a host begins anew, in milliseconds, if another may have kept the limit since.
 */
export const UNASKED_MS = 1000
/**
 * Time for which a host asks ahead, in milliseconds, and for which what it was granted is good: a host with a hundred
 * operations a second of one organisation asks five times a second for it, and one with few asks for each.
 */
export const AHEAD_MS = 200
/** Time in which the memory of how often an organisation asks here halves, in milliseconds. */
export const RATE_HALF_LIFE_MS = 500
/**
 * Time after which a host that has asked for operations counts as quiet, for which it is remembered, and the least
 * pause between two rounds of questions to quiet ones, in milliseconds. Hosts of an organisation that is refused ask
 * again
 * within half a second; only a keeper that refuses asks after quiet ones.
 */
export const QUIET = { afterMs: 700, rememberedMs: 10_000, pauseMs: 500 } as const
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
