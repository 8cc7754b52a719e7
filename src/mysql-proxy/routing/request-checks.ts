/** What a group's declarations say of a request: its kind, and whether its key may still be used. */
import { kindSchema, type Group, type Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { keyCreatedAt, MAXIMUM_KEY_LENGTH } from '../ledger/request-key.ts'

/** The kind of a statement that declares none: a write that is not repeatable. */
const DEFAULT_KIND: Kind = kindSchema.parse({ access: 'write' })

/**
 * Finds the kind that a request names.
 *
 * @param group - the declarations
 * @param request - the service and the kind's name
 * @returns the kind
 * @throws RequestError `UnknownKind`
 */
export function findKind (group: Group, { service, kind }: { service: string, kind?: string }): Kind {
  if (kind === undefined) {
    return DEFAULT_KIND
  }
  const kinds = group.services[service]?.kinds ?? {}
  const found = kinds[kind]
  if (found === undefined) {
    throw new RequestError('not-run', 'UnknownKind', { kind, service, known: Object.keys(kinds) })
  }
  return found
}

/**
 * Checks the key of a request.
 *
 * @param key - the key, if there is one
 * @param group - the declarations
 * @throws RequestError `MalformedHint` or `KeyExpired`
 */
export function checkKey (key: string | undefined, group: Group): void {
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
