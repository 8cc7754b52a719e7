/**
 * Rendezvous hashing: each host has a score for a key, and the hosts with the highest scores are chosen. Processes that
 * know the same hosts choose the same ones without communication, and losing a host only moves what it was chosen for.
 * Where hosts differ in capacity, the score is weighted: −weight / ln(h), with h in (0, 1) from the hash.
 */

/** Score of a host. Only scores of the same hash function, weighted or not, are comparable. */
export type Score = string | bigint | number

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

/** Leading hexadecimal digits of a hash that make up a fraction: 52 bits, which a number holds exactly. */
const FRACTION_DIGITS = 13

/**
 * Maps a hash to a fraction, evenly distributed and in the order of the hashes.
 *
 * @param hash - hash in hexadecimal digits, at least {@link FRACTION_DIGITS} of them
 * @returns the fraction, above 0 and below 1
 */
export function fractionOf (hash: string): number {
  return (Number.parseInt(hash.slice(0, FRACTION_DIGITS), 16) + 0.5) / 16 ** FRACTION_DIGITS
}

/**
 * Computes the score of a host of weight 1. A host's score is this times its weight: the chance to have the highest
 * score is then proportional to the weight, and a change of one weight only moves what that host gains or loses.
 *
 * @param fraction - fraction from the hash of key and host, above 0 and below 1
 * @returns the score, above 0
 */
export function unitScoreOf (fraction: number): number {
  return -1 / Math.log(fraction)
}
