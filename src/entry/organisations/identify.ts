/**
 * Says on behalf of which organisation a caller asks. Callers name a key; which organisation holds it stands in the
 * desired state, so that a key that is taken away or passed on binds with the next statement outside a transaction.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { DesiredState, Organisation, Route } from '../ports/index.ts'

/** Stands for callers of no organisation, on routes that ask for no key. */
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
export function identify (
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
