/** Checks requests against the declaration of their group: request kinds and request keys. */
import { kindSchema, type Group, type Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { ownValue } from '../../core/own-value.ts'
import { keyCreatedAt, MAXIMUM_KEY_LENGTH } from '../ledger/request-key.ts'

/** Kind of a statement that names none: a write that isn't repeatable. */
const DEFAULT_KIND: Kind = kindSchema.parse({ access: 'write' })

/**
 * Finds the declared kind of a request.
 *
 * @param group - declaration of the group
 * @param request - name of the service, and name of the kind if the request has one
 * @returns the kind
 * @throws RequestError `UnknownKind`
 */
export function findKind (group: Group, { service, kind }: { service: string, kind?: string }): Kind {
  if (kind === undefined) {
    return DEFAULT_KIND
  }
  const kinds = ownValue(group.services, service)?.kinds ?? {}
  const found = ownValue(kinds, kind)
  if (found === undefined) {
    throw new RequestError('not-run', 'UnknownKind', { kind, service, known: Object.keys(kinds) })
  }
  return found
}

/**
 * Validates the length and age of a request key.
 *
 * @param key - the key, if the request has one
 * @param group - declaration of the group
 * @throws RequestError `MalformedHint` for a wrong length, `KeyExpired` for a key older than the group's key retention
 */
export function validateKey (key: string | undefined, group: Group): void {
  if (key === undefined) {
    return
  }
  if (key.length === 0 || key.length > MAXIMUM_KEY_LENGTH) {
    throw new RequestError('not-run', 'MalformedHint', { reason: `a key has 1 to ${MAXIMUM_KEY_LENGTH} characters` })
  }
  const createdAt = keyCreatedAt(key)
  if (createdAt !== undefined && Date.now() - createdAt > group.keyRetentionMs) {
    throw new RequestError('not-run', 'KeyExpired', { key, retentionMs: group.keyRetentionMs })
  }
}
