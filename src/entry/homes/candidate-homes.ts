/** Which homes of an upstream may run a statement that has arrived at this host. */
import { orderByWeight } from '../../placement/upstream-homes.ts'

/**
 * Returns the home that an organisation prefers, the same on all hosts: its connections are concentrated there.
 *
 * @param homes - homes of the upstream
 * @param organisation - name of the organisation
 * @param shares - relative share of the upstream's statements by name of the home; absent if all are equal
 * @returns the home; undefined without homes
 */
export function preferredHome<Host extends { name: string }> (
  homes: readonly Host[], organisation: string, shares?: ReadonlyMap<string, number>
): Host | undefined {
  return orderByWeight(organisation, homes, ({ name }) => shares?.get(name) ?? 1)[0]
}

/**
 * Returns the homes to choose from. A home runs the statements that arrive at it itself. With an organisation it may
 * also forward them to the home that the organisation prefers: connections serve one organisation each, and a home at
 * which some of its statements arrive by chance would open one and close that of another.
 *
 * @param homes - homes of the upstream
 * @param self - this host, if it is one of them
 * @param organisation - organisation on whose behalf the statement runs; empty for none
 * @param shares - relative share of the upstream's statements by name of the home; absent if all are equal
 * @returns the homes
 */
export function candidateHomes<Host extends { name: string }> (
  homes: Host[], self: Host | undefined, organisation: string, shares?: ReadonlyMap<string, number>
): Host[] {
  if (self === undefined) {
    return homes
  }
  const preferred = organisation === '' ? self : preferredHome(homes, organisation, shares)!
  return preferred === self ? [self] : [preferred, self]
}
