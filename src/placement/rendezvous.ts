/**
 * Rendezvous hashing: each host has a score for a key, and the hosts with the highest scores are chosen. Processes that
 * know the same hosts choose the same ones without communication, and losing a host only moves what it was chosen for.
 */

/** Score of a host. Only scores of the same hash function are comparable. */
export type Score = string | bigint

/** A host with its score for a key. */
export interface ScoredHost<Host, Value extends Score> {
  host: Host
  score: Value
}

/**
 * Builds the hash input for a key and a host. All hosts must build the same input: a change moves every home.
 *
 * @param key - what the host is scored for, such as the name of an upstream
 * @param host - name of the host
 * @returns the hash input
 */
export function hashInputOf (key: string, host: string): string {
  return `${key}\0${host}`
}

/**
 * Compares scored hosts for sorting, highest score first.
 *
 * @param left - one host
 * @param right - another host
 * @returns a negative number, zero or a positive number, as for `Array.sort`
 */
export function byScore<Value extends Score> (
  left: ScoredHost<unknown, Value>, right: ScoredHost<unknown, Value>
): number {
  return left.score > right.score ? -1 : left.score < right.score ? 1 : 0
}
