/**
 * On behalf of which organisation is a caller served? Inputs: the keys and organisations of the desired state, the
 * route, and the digest of the caller's key. The organisation that holds the key; none where the route needs none;
 * otherwise the caller is refused. Looked up for each statement outside a transaction, so that a key that is withdrawn
 * or moved to another organisation takes effect with the next one.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { DesiredState, Organisation, Route } from '../ports/index.ts'

/** Organisation of callers without one, on routes that need no key. */
const NO_ORGANISATION: Organisation = { name: '' }

/**
 * Finds the organisation that holds a caller's key.
 *
 * @param state - the desired state in force
 * @param route - the route of the caller's database
 * @param keyDigest - digest of the key that the caller named
 * @returns the organisation; {@link NO_ORGANISATION} where none is needed and none holds the key
 * @throws RequestError `UnknownKey` with verdict `not-run`
 */
export function identifyOrganisation (
  { keys, organisations }: Pick<DesiredState, 'keys' | 'organisations'>, { needsKey, database }: Route, keyDigest: string
): Organisation {
  const organisation = organisations.get(keys.get(keyDigest) ?? '')
  if (organisation !== undefined) {
    return organisation
  }
  if (needsKey) {
    throw new RequestError('not-run', 'UnknownKey', { group: database })
  }
  return NO_ORGANISATION
}
