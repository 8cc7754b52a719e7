/** Selects the home of an upstream that runs a statement, or this host. */
import type { KnownUpstream } from '../directory/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { EntryContext, RequestScope } from './types.ts'

/**
 * Selects the home that a statement is forwarded to. A home runs a statement itself if that closes no connection of
 * another organisation: forwarding takes a frame each way and processor time on two hosts, which only pays where it
 * saves a connection.
 *
 * @param context - services of the entry process
 * @param target - the upstream that executes the statement
 * @param scope - the current request
 * @returns the home; undefined if this host runs the statement, or if no home is eligible
 */
export function chooseHome (
  { homes, pools }: Pick<EntryContext, 'homes' | 'pools'>, target: KnownUpstream,
  { triedHomes, organisation = '' }: Pick<RequestScope, 'triedHomes' | 'organisation'>
): KnownHost | undefined {
  const isServedHere = homes.isHome(target) && pools.of(target).pool.hasRoomFor(organisation)
  return isServedHere ? undefined : homes.choose(target, triedHomes, organisation)
}
