/**
 * Authenticates operators by their key and checks their rights. Settings hold SHA-256 digests of keys, which are
 * compared in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { OPERATOR_RIGHTS, OperatorSettings } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'

/** Kind of access that an operator can be granted. */
type OperatorRight = typeof OPERATOR_RIGHTS[number]

/** The authenticated sender of a request. */
export interface Operator {
  name: string
  /**
   * Throws when the operator lacks a right.
   *
   * @param right - the required right
   * @throws WorkswardError `NotAllowed`
   */
  demand: (right: OperatorRight) => void
}

/**
 * Hashes a key for comparison with the digests in the settings.
 *
 * @param key - the key
 * @returns SHA-256 digest in hexadecimal
 */
export function hashOperatorKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/**
 * Identifies the operator who sent a request.
 *
 * @param operators - operators from the settings
 * @param authorization - value of the `Authorization` header, in the form `Bearer KEY`
 * @returns the operator; has no rights when the key is unknown
 */
export function authenticateOperator (operators: OperatorSettings[], authorization: string | undefined): Operator {
  const key = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? ''
  const hash = Buffer.from(hashOperatorKey(key), 'hex')
  const found = operators.find(({ keyHash }) => timingSafeEqual(Buffer.from(keyHash, 'hex'), hash))
  return {
    name: found?.name ?? 'unknown',
    demand: (right) => {
      if (found?.rights.includes(right) !== true) {
        throw new WorkswardError('NotAllowed', { right })
      }
    }
  }
}
