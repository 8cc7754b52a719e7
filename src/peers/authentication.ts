/** Proof between peers that both know the key, without sending it. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

const NONCE_BYTES = 16

/**
 * Creates a challenge.
 *
 * @returns random bytes
 */
export function createNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/**
 * Answers a challenge.
 *
 * @param key - the shared key
 * @param role - side that answers, so that an answer cannot be sent back to its maker
 * @param nonce - the challenge
 * @param host - name of the host that answers
 * @returns the proof
 */
export function proveKey (key: string, role: 'client' | 'server', nonce: Uint8Array, host: string): Buffer {
  return createHmac('sha256', key).update(`${role}\0${host}\0`).update(nonce).digest()
}

/**
 * Compares two proofs in constant time.
 *
 * @param expected - the right one
 * @param received - the one received
 * @returns whether they are equal
 */
export function sameProof (expected: Buffer, received: Uint8Array): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received)
}
