/**
 * Rendezvous hashing: each host has a score for a subject, and the highest scores win. Processes that know the same
 * hosts find the same order without a message, and the loss of a host moves only what it had.
 */

/** A score; only compared with scores of the same hash. */
export type Score = string | bigint

/** A host and its score for a subject. */
export interface ScoredHost<Host, Value extends Score> {
  host: Host
  score: Value
}

/**
 * Joins subject and host into the text that is hashed. Part of what hosts agree on: another text moves every home.
 *
 * @param subject - what the host is scored for
 * @param host - name of the host
 * @returns the text
 */
export function pairOf (subject: string, host: string): string {
  return `${subject}\0${host}`
}

/**
 * Compares scored hosts, the highest score first.
 *
 * @param left - one host
 * @param right - another one
 * @returns as a sort wants it
 */
export function byScore<Value extends Score> (
  left: ScoredHost<unknown, Value>, right: ScoredHost<unknown, Value>
): number {
  return left.score > right.score ? -1 : left.score < right.score ? 1 : 0
}
