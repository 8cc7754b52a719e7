/**
 * Resolves a caller's database and key to a route and an organisation, by the desired state in force. A transaction
 * keeps the route with which it began.
 */
import { RequestError } from '../../core/errors/index.ts'
import { identifyOrganisation } from '../organisations/identify.ts'
import type { CallerLink, DesiredState, Organisation, Route } from '../ports/index.ts'

/** Route of a caller's requests, and the organisation on whose behalf they run. */
export interface CallerRoute {
  route: Route
  organisation: Organisation
}

/**
 * Finds the route of a caller's database and the organisation that holds its key.
 *
 * @param state - the desired state in force; undefined if none is known
 * @param caller - database and key digest of the caller
 * @returns route and organisation
 * @throws RequestError `UnknownGroup` or `UnknownKey`, with verdict `not-run`
 */
export function findCallerRoute (
  state: DesiredState | undefined, { database, keyDigest }: Pick<CallerLink, 'database' | 'keyDigest'>
): CallerRoute {
  const route = state?.routes.get(database)
  if (state === undefined || route === undefined) {
    throw new RequestError('not-run', 'UnknownGroup', { group: database })
  }
  return { route, organisation: identifyOrganisation(state, route, keyDigest) }
}

/**
 * Reports whether a caller's transaction may continue. Its organisation must still hold the caller's key, which may
 * change while the transaction is open.
 *
 * @param state - the desired state in force; undefined if none is known
 * @param begun - route and organisation with which the transaction began
 * @param keyDigest - digest of the caller's key
 * @returns true if it may continue
 */
export function mayContinue (
  state: DesiredState | undefined, { route, organisation }: CallerRoute, keyDigest: string
): boolean {
  return state === undefined || !route.needsKey || state.keys.get(keyDigest) === organisation.name
}
