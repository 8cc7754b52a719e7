/**
 * Chooses the hosts that hold the connections to an upstream, its homes; the other hosts forward statements to them.
 *
 * An upstream accepts a bounded number of connections from all hosts together. Shared by many hosts, each would have
 * one or none and queue on its own, so a few homes have several each. Hosts with different lists of live hosts choose
 * different homes, which costs latency but stays correct.
 */
import { createHash } from 'node:crypto'
import { areEqualInCapacity, unitsOf, type WeightedHost } from './capacity.ts'
import { computeShares } from './home-shares.ts'
import { byScore, fractionOf, hashInputOf, unitScoreOf } from './rendezvous.ts'

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
export interface PlaceableHost extends WeightedHost {
  failureDomain: string
}

/** An upstream that needs homes. */
interface PlacedUpstream {
  upstream: string
  failureDomain: string
  /** Number of statements that the upstream runs concurrently. */
  slots: number
}

/** Homes of an upstream, and how they share its statements. */
export interface PlacedHomes<Host> {
  /** The homes in order of preference. */
  homes: Host[]
  /** Relative share of the statements by name of the home, 1 on average; absent if all homes have the same. */
  shares?: ReadonlyMap<string, number> | undefined
}

/** Scores of a host for a key. They don't depend on the capacity, so that its change leaves the cache valid. */
interface CachedScores {
  hash: string
  /** Score that a weight is multiplied with. */
  perUnit: number
}

/** Number of cached scores; the cache is cleared when it is full. */
const MAXIMUM_CACHED_SCORES = 20_000
const scores = new Map<string, CachedScores>()

function scoresOf (key: string, host: string): CachedScores {
  const pair = hashInputOf(key, host)
  const known = scores.get(pair)
  if (known !== undefined) {
    return known
  }
  if (scores.size >= MAXIMUM_CACHED_SCORES) {
    scores.clear()
  }
  const hash = createHash('sha256').update(pair).digest('hex')
  const computed = { hash, perUnit: unitScoreOf(fractionOf(hash)) }
  scores.set(pair, computed)
  return computed
}

/**
 * Computes the score of a host for an upstream, or for another key, without regard to its capacity.
 *
 * @param upstream - the upstream
 * @param host - the host
 * @returns the score
 */
export function scoreOf (upstream: string, host: string): string {
  return scoresOf(upstream, host).hash
}

/**
 * Orders hosts, or other named items, by their score for a key. All processes that know the same ones get the same
 * order. Capacities don't count.
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
 * Orders hosts by their score for a key, weighted so that the chance of a host to come first is proportional to its
 * weight. Equal weights give the order of {@link orderByScore}.
 *
 * @param key - what the hosts are scored for, such as the name of an organisation
 * @param hosts - the hosts
 * @param weightOf - weight of a host, above 0
 * @returns the hosts, highest score first
 */
export function orderByWeight<Host extends { name: string }> (
  key: string, hosts: readonly Host[], weightOf: (host: Host) => number
): Host[] {
  const weights = hosts.map(weightOf)
  if (weights.every((weight) => weight === weights[0])) {
    return orderByScore(key, hosts)
  }
  return hosts
    .map((host, index) => ({ host, score: weights[index]! * scoresOf(key, host.name).perUnit }))
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
 * Chooses the homes of an upstream. Hosts of its own failure domain come first, so that connections stay within it;
 * among hosts of one rank the chance to be chosen rises with the capacity.
 *
 * @param placed - the upstream
 * @param hosts - the live hosts
 * @param cap - number of connections that the upstream accepts from all hosts together
 * @returns the homes and how they share its statements
 */
export function placeHomes<Host extends PlaceableHost> (
  { upstream, failureDomain, slots }: PlacedUpstream, hosts: readonly Host[], cap: number
): PlacedHomes<Host> {
  const isNear = (host: Host): boolean => host.failureDomain === failureDomain
  const ordered = orderByWeight(upstream, hosts, unitsOf)
  const ranked = [...ordered.filter(isNear), ...ordered.filter((host) => !isNear(host))]
  const count = countHomes(cap, slots, hosts.length)
  const homes = ranked.slice(0, count)
  if (areEqualInCapacity(homes)) {
    return { homes }
  }
  const next = ranked[count]
  const score = next === undefined ? 0 : unitsOf(next) * scoresOf(upstream, next.name).perUnit
  const shares = [true, false].flatMap((near) => [...computeShares(
    homes.filter((home) => isNear(home) === near),
    next !== undefined && isNear(next) === near ? 1 / score : Infinity
  )])
  return { homes, shares: new Map(shares) }
}

/**
 * Chooses the homes of an upstream, as {@link placeHomes} does.
 *
 * @param placed - the upstream
 * @param hosts - the live hosts
 * @param cap - number of connections that the upstream accepts from all hosts together
 * @returns the homes in order of preference
 */
export function homesOf<Host extends PlaceableHost> (
  placed: PlacedUpstream, hosts: readonly Host[], cap: number
): Host[] {
  return placeHomes(placed, hosts, cap).homes
}
