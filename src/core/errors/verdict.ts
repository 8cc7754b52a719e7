/** Verdicts: what is known about whether a request ran. */

/**
 * - `not-run`: the request certainly had no effect and never will; the only verdict that may be retried.
 * - `may-have-run`: unknown.
 * - `ran`: the request took effect.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'
