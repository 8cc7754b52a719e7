/**
 * Selects the home for each statement, and the silent home to probe next.
 *
 * Silent and leaving homes are skipped. Of two others drawn at random, the one with the lower cost (home-cost.ts) is
 * taken, so that hosts do not all choose the least loaded home at the same time. For an organisation, one of the two is
 * always the home it prefers, where it is likely to have an open connection. Where hosts differ in capacity, homes are
 * drawn and preferred with a probability proportional to their share (placement/home-shares.ts).
 */
import type { KnownHost } from '../registry/index.ts'
import { preferredHome } from './candidate-homes.ts'
import { costOf, recordOverhead, reportedWaitOf } from './home-cost.ts'
import { countInProgress, createHomeStates, type HomeState } from './seen-homes.ts'

/**
 * Least time between a failure and the first probe, and between any two probes of silent homes by this host, in
 * milliseconds. It is shared by all homes, so that the rate of probes does not grow with the number of silent ones:
 * otherwise hosts that are cut in two would send as many probes as their callers send statements.
 */
export const PROBE_INTERVAL_MS = 250
/**
 * Additional cost of a home that the organisation does not prefer, in milliseconds. Connections serve one organisation
 * each, so the other home may have to open one for it, which takes 12 ms of a slot and a network round trip, and close
 * one of another organisation.
 */
const NEW_CONNECTION_COST_MS = 20

/**
 * Least difference in cost for which the home drawn second is taken where homes are drawn by their shares, in
 * milliseconds: about one statement. Costs decay, so of idle homes the one used least recently is the cheapest; without
 * this bound, homes with small shares would get more than these.
 */
const SIGNIFICANT_COST_MS = 10

/** What a home reports about itself with each answer. */
interface HomeReport {
  /** Number of statements and transactions there that use a connection to the upstream or wait for one. */
  load: number
  /** Whether the home is shutting down. */
  leaving: boolean
  /** How long a statement of the answered one's priority would wait, in milliseconds; absent if none waits. */
  waitMs?: number
}

/** Selects homes. */
export interface HomeSelector {
  /**
   * Selects the home for a statement.
   *
   * @param upstream - the upstream
   * @param homes - its homes
   * @param tried - names of homes that were already tried
   * @param organisation - organisation on whose behalf the statement runs; empty for none
   * @param shares - relative share of the upstream's statements by name of the home; absent if all are equal
   * @returns the home; undefined when none is eligible
   */
  choose: (
    upstream: string, homes: KnownHost[], tried: ReadonlySet<string>, organisation?: string,
    shares?: ReadonlyMap<string, number>
  ) => KnownHost | undefined
  /** Records that a statement was sent. */
  recordSent: (home: KnownHost, upstream: string) => void
  /** Records that a statement has ended, whatever its outcome. */
  recordEnded: (home: KnownHost, upstream: string) => void
  /**
   * Records an answer; the home is no longer silent.
   *
   * @param home - the home
   * @param upstream - the upstream that executed the statement
   * @param report - what the home reported about itself
   * @param overheadMs - time that the answer took beyond the statement itself, in milliseconds
   * @param priority - priority of the statement
   */
  recordAnswer: (
    home: KnownHost, upstream: string, report?: HomeReport, overheadMs?: number, priority?: number
  ) => void
  /** Records that a home was unreachable or did not answer; it is silent, and skipped, until it answers. */
  recordFailure: (home: KnownHost) => void
  /** Whether a home has failed and not answered since. */
  isSilent: (home: KnownHost) => boolean
  /**
   * Returns the silent home whose probe is due and restarts the probe interval.
   *
   * @param homes - the homes to consider
   * @returns the home that failed or was probed the longest ago; undefined when no probe is due
   */
  takeDueProbe: (homes: KnownHost[]) => KnownHost | undefined
  /** Time of the last answer of a home, on the monotonic clock; -Infinity when there was none. */
  lastAnswerAt: (home: KnownHost) => number
  /** How long a statement of a priority would wait at a home according to its reports, in milliseconds. */
  waitAt: (home: KnownHost, upstream: string, priority: number) => number
  /** Number of statements in progress at an upstream through all homes. */
  inProgressAt: (upstream: string) => number
  /** Drops the state of hosts that are not in a list. */
  retainHosts: (hosts: KnownHost[]) => void
  /** Drops the loads reported for an upstream. */
  forgetUpstream: (upstream: string) => void
  /** Number of hosts with a state. */
  readonly hostCount: number
}

/**
 * Creates a selector without any state of homes.
 *
 * @returns the selector
 */
export function createHomeSelector (): HomeSelector {
  const states = createHomeStates()
  let probedAt = -Infinity

  return {
    choose: (upstream, homes, tried, organisation = '', shares) => {
      const eligible = homes.filter((home) => !tried.has(home.name) && isEligible(states.of(home)))
      // Every host computes the same preferred home, so an organisation's connections are concentrated there.
      const shareOf = ({ name }: KnownHost): number => shares?.get(name) ?? 1
      const preferred = organisation === '' ? undefined : preferredHome(eligible, organisation, shares)
      const cost = (home: KnownHost): number => costOf(states.of(home), upstream, shareOf(home)) +
        (preferred === undefined || home === preferred ? 0 : NEW_CONNECTION_COST_MS)
      return shares === undefined
        ? cheaperOfTwo(eligible, preferred, cost)
        : cheaperOfWeighted(eligible, preferred, cost, shareOf)
    },
    recordSent: (home, upstream) => countInProgress(states.of(home), upstream, 1),
    recordEnded: (home, upstream) => countInProgress(states.of(home), upstream, -1),
    recordAnswer: (home, upstream, report, overheadMs, priority = 0) => {
      const state = states.of(home)
      state.lastAnswerAt = performance.now()
      state.isSilent = false
      if (report !== undefined) {
        state.leaving = report.leaving
        const { load, waitMs = 0 } = report
        state.loads.set(upstream, { load, at: performance.now(), waitMs, priority })
      }
      if (overheadMs !== undefined) {
        recordOverhead(state, overheadMs)
      }
    },
    recordFailure: (home) => {
      const state = states.of(home)
      if (!state.isSilent) {
        state.isSilent = true
        state.silentAt = performance.now()
      }
    },
    isSilent: (home) => states.of(home).isSilent,
    takeDueProbe: (homes) => {
      const latest = performance.now() - PROBE_INTERVAL_MS
      const due = longestSilent(homes.map(states.of), latest)
      if (due === undefined || probedAt > latest) {
        return undefined
      }
      probedAt = performance.now()
      due.silentAt = probedAt
      return due.host
    },
    lastAnswerAt: (home) => states.of(home).lastAnswerAt,
    waitAt: (home, upstream, priority) => reportedWaitOf(states.of(home), upstream, priority),
    inProgressAt: states.inProgressAt,
    retainHosts: states.retain,
    forgetUpstream: states.forgetUpstream,
    get hostCount () { return states.size }
  }
}

function isEligible ({ isSilent, leaving }: HomeState): boolean {
  return !isSilent && !leaving
}

/** Returns the silent home that failed or was probed the longest ago, if that was no later than `latest`. */
function longestSilent (homes: HomeState[], latest: number): HomeState | undefined {
  const [longest] = homes
    .filter(({ isSilent, silentAt }) => isSilent && silentAt <= latest)
    .sort((left, right) => left.silentAt - right.silentAt)
  return longest
}

/** Draws two homes at random, the preferred one always among them, and returns the cheaper; ties are random. */
function cheaperOfTwo (
  eligible: KnownHost[], preferred: KnownHost | undefined, cost: (home: KnownHost) => number
): KnownHost | undefined {
  const drawn = eligible.length <= 2 ? eligible : drawPair(eligible, preferred)
  return drawn.sort((left, right) => cost(left) - cost(right) || Math.random() - 0.5)[0]
}

/** Draws two different items at random; `given`, if any, is one of them. */
function drawPair<Item> (items: Item[], given?: Item): Item[] {
  const first = given === undefined ? Math.floor(Math.random() * items.length) : items.indexOf(given)
  const second = Math.floor(Math.random() * (items.length - 1))
  return [items[first]!, items[second < first ? second : second + 1]!]
}

/**
 * Draws two homes with a probability proportional to shares, the preferred one always first. The second is taken if it
 * is cheaper by more than {@link SIGNIFICANT_COST_MS}; the cost of a home that is not preferred includes such a margin.
 */
function cheaperOfWeighted (
  eligible: KnownHost[], preferred: KnownHost | undefined, cost: (home: KnownHost) => number,
  shareOf: (home: KnownHost) => number
): KnownHost | undefined {
  const first = preferred ?? drawWeighted(eligible, shareOf)
  const second = drawWeighted(eligible.filter((home) => home !== first), shareOf)
  const marginMs = preferred === undefined ? SIGNIFICANT_COST_MS : 0
  return first !== undefined && second !== undefined && cost(second) + marginMs < cost(first) ? second : first
}

/** Draws an item with a probability proportional to its weight; returns undefined without items. */
function drawWeighted<Item> (items: Item[], weightOf: (item: Item) => number): Item | undefined {
  let rest = Math.random() * items.reduce((sum, item) => sum + weightOf(item), 0)
  return items.find((item) => (rest -= weightOf(item)) < 0) ?? items.at(-1)
}
