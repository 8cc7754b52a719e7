/** Mutual challenge-response authentication of peers with a shared key. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

const NONCE_BYTES = 16

/**
 * Creates a random challenge.
 *
 * @returns random bytes
 */
export function createNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/**
 * Computes the response to a challenge.
 *
 * @param key - the shared key
 * @param role - side that responds; prevents reflection of a response to its sender
 * @param nonce - the challenge
 * @param host - name of the responding host
 * @returns the proof: an HMAC of role, host and nonce
 */
export function proveKey (key: string, role: 'client' | 'server', nonce: Uint8Array, host: string): Buffer {
  return createHmac('sha256', key).update(`${role}\0${host}\0`).update(nonce).digest()
}

/**
 * Compares two proofs in constant time.
 *
 * @param expected - the computed proof
 * @param actual - the received proof
 * @returns whether they are equal
 */
export function sameProof (expected: Buffer, actual: Uint8Array): boolean {
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
