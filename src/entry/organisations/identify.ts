/**
 * Finds the organisation on whose behalf a caller's statements run. It is looked up for each statement outside a
 * transaction, so that a revoked or reassigned key takes effect with the next one.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { DesiredState, Organisation, Route } from '../ports/index.ts'

/** Used for callers without an organisation, on routes that need no key. */
const NO_ORGANISATION: Organisation = { name: '' }

/**
 * Finds the organisation that holds a caller's key.
 *
 * @param state - the desired state in force
 * @param route - the route of the caller's database
 * @param keyDigest - digest of the caller's key
 * @returns the organisation; {@link NO_ORGANISATION} if none holds the key and the route needs none
 * @throws RequestError `UnknownKey` with verdict `not-run`, if none holds the key and the route needs one
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
