/**
 * Chooses the hosts that hold the connections to an upstream, its homes; the other hosts forward statements to them.
 *
 * An upstream accepts a bounded number of connections from all hosts together. Shared by many hosts, each would have
 * one or none and queue on its own, so a few homes have several each. Hosts with different lists of live hosts choose
 * different homes, which costs latency but stays correct.
 */
import { createHash } from 'node:crypto'
import { byScore, hashInputOf } from './rendezvous.ts'

/** Least number of connections per home. With fewer, some homes wait for one while others have idle ones. */
const MINIMUM_CONNECTIONS_PER_HOME = 8
/**
 * Number of homes beyond one per slot, to compensate for a lost home. Each home keeps at least two statements in
 * progress, so more homes would send more than the upstream can run, and writes would queue there behind reads: at 1.15
 * times the work that two slots do, 268 of 367 writes were in time with eleven homes, all of them with three.
 */
const SPARE_HOMES = 1
/** Least number of homes of an upstream, so that one remains when another is lost. */
const MINIMUM_HOMES = 2

/** A host that can be a home. */
export interface PlaceableHost {
  name: string
  failureDomain: string
}

/** An upstream that needs homes. */
interface PlacedUpstream {
  upstream: string
  failureDomain: string
  /** Number of statements that the upstream runs concurrently. */
  slots: number
}

/** Number of cached scores; the cache is cleared when it is full. */
const MAXIMUM_CACHED_SCORES = 20_000
const scores = new Map<string, string>()

/**
 * Computes the score of a host for an upstream, or for another key.
 *
 * @param upstream - the upstream
 * @param host - the host
 * @returns the score
 */
export function scoreOf (upstream: string, host: string): string {
  const pair = hashInputOf(upstream, host)
  const known = scores.get(pair)
  if (known !== undefined) {
    return known
  }
  if (scores.size >= MAXIMUM_CACHED_SCORES) {
    scores.clear()
  }
  const score = createHash('sha256').update(pair).digest('hex')
  scores.set(pair, score)
  return score
}

/**
 * Orders hosts by their score for a key. All processes that know the same hosts get the same order.
 *
 * @param key - what the hosts are scored for, such as the name of an organisation
 * @param hosts - the hosts
 * @returns the hosts, highest score first
 */
export function orderByScore<Host extends { name: string }> (key: string, hosts: readonly Host[]): Host[] {
  return hosts
    .map((host) => ({ host, score: scoreOf(key, host.name) }))
    .sort(byScore)
    .map(({ host }) => host)
}

/**
 * Computes how many homes an upstream has.
 *
 * @param cap - number of connections that the upstream accepts from all hosts together
 * @param slots - number of statements that it runs concurrently
 * @param hosts - number of live hosts
 * @returns the number of homes
 */
export function countHomes (cap: number, slots: number, hosts: number): number {
  const wanted = Math.min(slots + SPARE_HOMES, Math.floor(cap / MINIMUM_CONNECTIONS_PER_HOME))
  return Math.min(hosts, Math.max(MINIMUM_HOMES, wanted))
}

/**
 * Chooses the homes of an upstream. Hosts of its own failure domain come first, so that connections stay within it.
 *
 * @param placed - the upstream
 * @param hosts - the live hosts
 * @param cap - number of connections that the upstream accepts from all hosts together
 * @returns the homes in order of preference
 */
export function homesOf<Host extends PlaceableHost> (
  { upstream, failureDomain, slots }: PlacedUpstream, hosts: readonly Host[], cap: number
): Host[] {
  const domainRank = (host: Host): number => host.failureDomain === failureDomain ? 0 : 1
  return hosts
    .map((host) => ({ host, score: scoreOf(upstream, host.name) }))
    .sort((left, right) => domainRank(left.host) - domainRank(right.host) || byScore(left, right))
    .slice(0, countHomes(cap, slots, hosts.length))
    .map(({ host }) => host)
}
