/** Short substitutes for texts of any length, by which texts are compared without keeping them. */
import { createHash } from 'node:crypto'

/** Maximum length of a text that is its own fingerprint; fingerprints of longer texts are longer than this. */
const MAXIMUM_LITERAL_LENGTH = 64
const DIGEST_PREFIX = 'sha256:'

/** Maximum length of a fingerprint, in characters. */
export const MAXIMUM_FINGERPRINT_LENGTH = DIGEST_PREFIX.length + 64

/**
 * Returns the fingerprint of a text. Callers choose the texts, so that long ones need a cryptographic digest: two texts
 * with the same fingerprint would run in place of each other.
 *
 * @param text - the text
 * @returns the fingerprint, which is different for each text
 */
export function fingerprintOf (text: string): string {
  return text.length <= MAXIMUM_LITERAL_LENGTH
    ? text
    : DIGEST_PREFIX + createHash('sha256').update(text).digest('hex')
}
