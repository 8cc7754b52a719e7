/**
 * Where do a caller's requests go, and on whose behalf? Inputs: the desired state in force, the database and the digest
 * of the key that the caller named. The route of the database, and the organisation that holds the key; a transaction
 * keeps the route with which it began.
 */
import { RequestError } from '../../core/errors/index.ts'
import { identifyOrganisation } from '../organisations/identify.ts'
import type { CallerLink, DesiredState, Organisation, Route } from '../ports/index.ts'

/** Where a caller's requests go, and on behalf of which organisation. */
export interface CallerRoute {
  route: Route
  organisation: Organisation
}

/**
 * Finds the route of a caller's database and the organisation that holds its key.
 *
 * @param state - the desired state in force; undefined while none is known
 * @param caller - the database and the key that the caller named
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
 * Reports whether a caller's transaction may go on: by the route with which it began, as long as the caller's key is
 * held by the organisation on whose connection it runs. It may last for longer than a change of keys takes to arrive.
 *
 * @param state - the desired state in force
 * @param begun - route and organisation with which the transaction began
 * @param keyDigest - digest of the key that the caller named
 * @returns whether it may
 */
export function mayGoOn (
  state: DesiredState | undefined, { route, organisation }: CallerRoute, keyDigest: string
): boolean {
  return state === undefined || !route.needsKey || state.keys.get(keyDigest) === organisation.name
}
