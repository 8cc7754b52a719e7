/**
 * Which hosts are the homes of an upstream, and how many: the hosts that hold the connections to it.
 *
 * Inputs: the cap (connections that the upstream takes from all hosts), its slots (statements that it runs at a time),
 * its failure domain, the hosts with theirs. Rule: one home for each slot and {@link SPARE_HOMES}, as far as the cap
 * has {@link CONNECTIONS_PER_HOME} for each, and {@link LEAST_HOMES} at least; the hosts of its own failure domain with
 * the highest scores, then those of others. Why: an upstream takes a bounded number of connections from all hosts
 * together; where many hosts share it, each would get one or none, and every host would queue by itself. So a few of
 * them, its homes, have several each, and the others pass their statements on to them. A home is a hint: hosts
 * that see different lists choose different homes, which costs time and breaks nothing.
 */
import { createHash } from 'node:crypto'
import { byScore, pairOf } from './rendezvous.ts'

/**
 * Least number of connections that a home has of an upstream's cap. A statement or a transaction takes one; with fewer
 * a home, some homes wait for one while those of others are idle.
 */
const CONNECTIONS_PER_HOME = 8
/**
 * Homes of an upstream beyond one for each of its slots. Each home has two statements in progress at least, so that
 * more homes than that send more to the upstream than it can run, where changes then wait behind reads. Measured
 * with 1.15 times the work that two slots do: 268 of 367 changes were in time with eleven homes, all with three. One
 * more makes up for a home that is gone.
 */
const SPARE_HOMES = 1
/** Least number of homes of an upstream: the loss of one leaves another. */
const LEAST_HOMES = 2

/** A host that can be a home. */
export interface PlaceableHost {
  name: string
  failureDomain: string
}

/** An upstream that needs homes. */
interface PlacedUpstream {
  upstream: string
  failureDomain: string
  /** Statements that it runs at a time. */
  slots: number
}

/** Scores that are cached; beyond that they are computed anew. */
const CACHED_SCORES = 20_000
const scores = new Map<string, string>()

/**
 * Scores a host for an upstream; the highest scores are its homes. The loss of a host moves only what it had.
 *
 * @param upstream - the upstream
 * @param host - the host
 * @returns the score
 */
export function scoreOf (upstream: string, host: string): string {
  const pair = pairOf(upstream, host)
  const known = scores.get(pair)
  if (known !== undefined) {
    return known
  }
  if (scores.size >= CACHED_SCORES) {
    scores.clear()
  }
  const score = createHash('sha256').update(pair).digest('hex')
  scores.set(pair, score)
  return score
}

/**
 * Orders hosts for a duty that one of them has for all, the same way on each host that knows the same ones.
 *
 * @param name - name of the duty, or of what it is for
 * @param hosts - the hosts
 * @returns the hosts, the highest score first
 */
export function orderByScore<Host extends { name: string }> (name: string, hosts: readonly Host[]): Host[] {
  return hosts
    .map((host) => ({ host, score: scoreOf(name, host.name) }))
    .sort(byScore)
    .map(({ host }) => host)
}

/**
 * Computes how many homes an upstream has.
 *
 * @param cap - connections that it takes from all hosts
 * @param slots - statements that it runs at a time
 * @param hosts - number of live hosts
 * @returns their number
 */
export function countHomes (cap: number, slots: number, hosts: number): number {
  const wanted = Math.min(slots + SPARE_HOMES, Math.floor(cap / CONNECTIONS_PER_HOME))
  return Math.min(hosts, Math.max(LEAST_HOMES, wanted))
}

/**
 * Chooses the homes of an upstream: hosts of its own failure domain first, since what reaches it crosses no other one.
 *
 * @param placed - the upstream
 * @param hosts - the live hosts
 * @param cap - connections that it takes from all hosts
 * @returns its homes, the best first
 */
export function homesOf<Host extends PlaceableHost> (
  { upstream, failureDomain, slots }: PlacedUpstream, hosts: readonly Host[], cap: number
): Host[] {
  const distance = (host: Host): number => host.failureDomain === failureDomain ? 0 : 1
  return hosts
    .map((host) => ({ host, score: scoreOf(upstream, host.name) }))
    .sort((left, right) => distance(left.host) - distance(right.host) || byScore(left, right))
    .slice(0, countHomes(cap, slots, hosts.length))
    .map(({ host }) => host)
}
