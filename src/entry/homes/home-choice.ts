/**
 * Which home a statement goes to, when a home is skipped, and when a skipped one is probed again.
 *
 * Inputs: the homes of the upstream, those that were tried for the statement, the organisation on whose behalf it runs;
 * what was seen of each home (seen-homes.ts) and its cost in milliseconds (home-cost.ts).
 * Rule: homes that failed and have not answered since, and those that are leaving, are skipped. Of two others, drawn at
 * random, the cheaper one is taken; for an organisation one of the two is the home that it prefers, and the other costs
 * {@link OTHER_HOME_MS} more. Silent homes are probed one at a time, the one probed longest ago first, with a pause of
 * {@link PROBE_AGAIN_MS}.
 * Why: hosts that all went to the home with the least load would overload it. A statement meets a silent home once, and
 * not at each try.
 */
import { orderByScore } from '../../placement/upstream-homes.ts'
import type { KnownHost } from '../registry/index.ts'
import { costOf, recordOverhead } from './home-cost.ts'
import { countInProgress, createSeenHomes, type SeenHome } from './seen-homes.ts'

/**
 * Pause before a home that failed is probed again, and between two such probes of a host, in milliseconds: with
 * a pause for each home alone, hosts that are cut in two would send as many probes as their callers send statements.
 */
export const PROBE_AGAIN_MS = 250
/**
 * Cost of another home than the one that an organisation prefers, in milliseconds: a connection carries the statements
 * of one organisation only, so the other home opens one more, which takes 12 ms of a slot and a round trip, and closes
 * one that would have been used; as much as two statements before it.
 */
const OTHER_HOME_MS = 20

/** What a home reports with each answer. */
interface HomeReport {
  /** Statements and transactions that use a connection to the upstream there, or wait for one. */
  load: number
  /** Whether it has been ordered to stop. */
  leaving: boolean
}

/** Chooses homes. */
export interface HomeChoice {
  /**
   * Chooses the home for the next statement.
   *
   * @param upstream - the upstream
   * @param homes - its homes
   * @param tried - names of homes that have been tried
   * @param organisation - on whose behalf; the same home is preferred for the same one, empty for none
   * @returns the home; undefined when none is fit
   */
  choose: (
    upstream: string, homes: KnownHost[], tried: ReadonlySet<string>, organisation?: string
  ) => KnownHost | undefined
  /** Records that a statement was sent. */
  recordSent: (home: KnownHost, upstream: string) => void
  /** Records that a statement has ended, with whatever outcome. */
  recordEnded: (home: KnownHost, upstream: string) => void
  /**
   * Records an answer.
   *
   * @param home - the home
   * @param upstream - where the statement ran
   * @param report - what the home reported of itself
   * @param overheadMs - what the answer took beyond the statement itself, in milliseconds
   */
  recordAnswer: (home: KnownHost, upstream: string, report?: HomeReport, overheadMs?: number) => void
  /** Records that a home could not be reached or has not answered: it is skipped until it answers. */
  recordFailure: (home: KnownHost) => void
  /** Whether a home has failed and not answered since. */
  isSilent: (home: KnownHost) => boolean
  /**
   * Names the silent home that is to be probed now; one at a time, with a pause in between.
   *
   * @param homes - the homes that are needed
   * @returns the one to probe; undefined when none is due
   */
  takeDueProbe: (homes: KnownHost[]) => KnownHost | undefined
  /** When a home last answered anything, on the steady clock. */
  lastAnswerAt: (home: KnownHost) => number
  /** Statements that this host has in progress at an upstream through homes. */
  loadOf: (upstream: string) => number
  /** Drops what was seen of hosts that are not in a list. */
  retain: (hosts: KnownHost[]) => void
  /** Drops what was seen of an upstream. */
  forgetUpstream: (upstream: string) => void
  /** Hosts of which anything is remembered. */
  readonly remembered: number
}

/**
 * Creates the choice; nothing has been seen yet.
 *
 * @returns the choice
 */
export function createHomeChoice (): HomeChoice {
  const seen = createSeenHomes()
  let probedAt = -Infinity

  return {
    choose: (upstream, homes, tried, organisation = '') => {
      const fit = homes.filter((home) => !tried.has(home.name) && isFit(seen.of(home)))
      // The home where the organisation's connections are.
      const [preferred] = organisation === '' ? [] : orderByScore(organisation, fit)
      return cheaperOfTwo(fit, preferred, (home) => costOf(seen.of(home), upstream))
    },
    recordSent: (home, upstream) => countInProgress(seen.of(home), upstream, 1),
    recordEnded: (home, upstream) => countInProgress(seen.of(home), upstream, -1),
    recordAnswer: (home, upstream, report, overheadMs) => {
      const known = seen.of(home)
      known.lastAnswerAt = performance.now()
      known.isSilent = false
      if (report !== undefined) {
        known.leaving = report.leaving
        known.loads.set(upstream, { load: report.load, at: performance.now() })
      }
      if (overheadMs !== undefined) {
        recordOverhead(known, overheadMs)
      }
    },
    recordFailure: (home) => {
      const known = seen.of(home)
      if (!known.isSilent) {
        known.isSilent = true
        known.silentAt = performance.now()
      }
    },
    isSilent: (home) => seen.of(home).isSilent,
    takeDueProbe: (homes) => {
      const latest = performance.now() - PROBE_AGAIN_MS
      const due = longestSilent(homes.map(seen.of), latest)
      if (due === undefined || probedAt > latest) {
        return undefined
      }
      probedAt = performance.now()
      due.silentAt = probedAt
      return due.host
    },
    lastAnswerAt: (home) => seen.of(home).lastAnswerAt,
    loadOf: seen.inProgressAt,
    retain: seen.retain,
    forgetUpstream: seen.forgetUpstream,
    get remembered () { return seen.size }
  }
}

/** Whether statements may go to a home. */
function isFit ({ isSilent, leaving }: SeenHome): boolean {
  return !isSilent && !leaving
}

/** The silent home that failed or was probed longest ago; undefined when none did before the given time. */
function longestSilent (homes: SeenHome[], latest: number): SeenHome | undefined {
  const [longest] = homes
    .filter(({ isSilent, silentAt }) => isSilent && silentAt <= latest)
    .sort((left, right) => left.silentAt - right.silentAt)
  return longest
}

/** The cheaper of two homes drawn at random, the preferred one among them; either of them when they cost the same. */
function cheaperOfTwo (
  fit: KnownHost[], preferred: KnownHost | undefined, costAt: (home: KnownHost) => number
): KnownHost | undefined {
  const cost = (home: KnownHost): number =>
    costAt(home) + (preferred === undefined || home === preferred ? 0 : OTHER_HOME_MS)
  const drawn = fit.length <= 2 ? fit : drawPair(fit, preferred)
  return drawn.sort((left, right) => cost(left) - cost(right) || Math.random() - 0.5)[0]
}

/** Draws two different items at random; one of them is the given one, if any. */
function drawPair<Item> (items: Item[], given?: Item): Item[] {
  const first = given === undefined ? Math.floor(Math.random() * items.length) : items.indexOf(given)
  const second = Math.floor(Math.random() * (items.length - 1))
  return [items[first]!, items[second < first ? second : second + 1]!]
}
