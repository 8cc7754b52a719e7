/**
 * Which operator a request comes from, by the key presented, and what that operator may do. Settings hold SHA-256
 * digests of keys; they are compared in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { OPERATOR_RIGHTS, OperatorSettings } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'

/** Something an operator may be allowed to do. */
type OperatorRight = typeof OPERATOR_RIGHTS[number]

/** An operator. */
export interface Operator {
  name: string
  /**
   * Fails unless the operator has a right.
   *
   * @param right - the right
   * @throws WorkswardError `NotAllowed`
   */
  demand: (right: OperatorRight) => void
}

/**
 * Hashes a key as settings hold it.
 *
 * @param key - the key
 * @returns SHA-256 in hexadecimal
 */
export function hashOperatorKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/**
 * Finds the operator of a request.
 *
 * @param operators - the operators of the settings
 * @param authorization - the header `Authorization: Bearer KEY`
 * @returns the operator; one without rights when the key is unknown
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
