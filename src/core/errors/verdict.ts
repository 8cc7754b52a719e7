/** Verdicts: whether a failed request may have taken effect. */

/**
 * - `not-run`: the request had no effect and never will, so that it may be retried.
 * - `may-have-run`: unknown.
 * - `ran`: the request took effect.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'
