/** Figures of homes; times in milliseconds. */

/**
 * Part of the cap that homes leave free, and the least number of connections: for questions of control, and for hosts
 * that reach no home.
 */
export const RESERVED = { part: 0.1, least: 2 } as const
/** Time after which a home that has answered nothing is asked whether it is there. */
export const HOME_SILENCE_MS = 150
/**
 * Time that it then has to answer before it is suspected: a process with little to do answers within some tens, and one
 * that has used up its share of a core within a hundred. What can run elsewhere leaves it then.
 */
export const HOME_ANSWER_MS = 150
/**
 * Time that it then has to answer before its link is broken and what waits there fails: what is in doubt is not sent
 * again, so that a late answer serves a caller better. As long as most routes give a statement.
 */
export const HOME_GONE_MS = 800
/**
 * Pause before a home that failed is asked again, and between two such questions of a host, in milliseconds. A home is
 * passed over until it answers, so that a caller's statement finds out once that it is silent, and not at each try.
 * With a pause for each home alone, 71 hosts split in two asked 1,007 questions a second whether homes are there, as
 * many as their callers had statements; so they ask 540 in all.
 */
export const ASK_AGAIN_MS = 250
/**
 * Silent homes from which on all others with a link are asked as well: one may have ended or stand still, while more at
 * once are often those beyond a cut. The least pause between two such rounds, in milliseconds.
 */
export const LOOK_AROUND = { silent: 2, pauseMs: 1000 } as const
/** Time in which the load that a home has told counts half. */
export const LOAD_HALF_LIFE_MS = 200
/** Wait that one statement before the next one stands for, in milliseconds: about what one takes at an upstream. */
export const LOAD_COST_MS = 10
/**
 * Cost of another home than the one that an organisation prefers, in milliseconds: a connection carries the statements
 * of one organisation only, so the other home opens one more, which takes 12 ms of a slot and a round trip, and closes
 * one that somebody else would have used. As much as two statements before it.
 */
export const OTHER_HOME_MS = 20
/**
 * What an answer took beyond its statement tells how busy the home's processor is, which its load does not: hosts
 * differ in what share of a core they have, and in what else they do. The part that a new answer counts, and the time
 * in which what was seen counts half, in milliseconds: some answers, so that one slow answer moves little.
 */
export const OVERHEAD = { newPart: 0.3, halfLifeMs: 500 } as const
/** What the answer of a home may take beyond the time that a statement has left: its own refusal comes first. */
export const HOP_GRACE_MS = 30
