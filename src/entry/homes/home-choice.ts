/** Chooses among the homes of an upstream by what was seen of each: whether it answers, and how much it has to do. */
import type { KnownHost } from '../registry/index.ts'
import { ASK_AGAIN_MS, LOAD_COST_MS, LOAD_HALF_LIFE_MS, OTHER_HOME_MS, OVERHEAD } from './consts.ts'
import { orderByScore } from '../../placement/upstream-homes.ts'

/** What a home tells with each answer. */
interface HomeReport {
  /** Statements and transactions that use a connection to the upstream there, or wait for one. */
  load: number
  /** Whether it has been told to stop. */
  leaving: boolean
}

/** What is known of one home. */
interface SeenHome {
  host: KnownHost
  /** Process that was seen; a restarted one is another. */
  process: string
  /** Whether it has failed and not answered since. */
  isSilent: boolean
  /** When it failed, or was last asked whether it is there again, on the steady clock. */
  silentAt: number
  leaving: boolean
  /** Load by upstream, and when it was told. */
  loads: Map<string, { load: number, at: number }>
  /** What answers took beyond the statement itself, in milliseconds, and when that was last seen. */
  overhead: { meanMs: number, at: number }
  /** Statements in progress there, by upstream. */
  inProgress: Map<string, number>
  lastAnswerAt: number
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
  /** Takes note that a statement was sent. */
  sent: (home: KnownHost, upstream: string) => void
  /** Takes note that a statement has ended, whatever became of it. */
  ended: (home: KnownHost, upstream: string) => void
  /**
   * Takes note of an answer.
   *
   * @param home - the home
   * @param upstream - where the statement ran
   * @param report - what the home told of itself
   * @param overheadMs - what the answer took beyond the statement itself, in milliseconds
   */
  answered: (home: KnownHost, upstream: string, report?: HomeReport, overheadMs?: number) => void
  /** Takes note that a home could not be reached or has not answered: it is passed over until it answers. */
  failed: (home: KnownHost) => void
  /** Whether a home has failed and not answered since. */
  isSilent: (home: KnownHost) => boolean
  /**
   * Names a silent home that is to be asked now whether it is there again; one at a time, with a pause in between.
   *
   * @param homes - the homes that are needed
   * @returns the one to ask; undefined when none is due
   */
  takeDue: (homes: KnownHost[]) => KnownHost | undefined
  /** When a home last answered anything, on the steady clock. */
  lastAnswerAt: (home: KnownHost) => number
  /** Statements that this host has in progress at an upstream through homes, and those that homes have told. */
  loadOf: (upstream: string) => number
}

/**
 * Creates the choice; nothing has been seen yet.
 *
 * @returns the choice
 */
export function createHomeChoice (): HomeChoice {
  const seen = new Map<string, SeenHome>()
  let askedAgainAt = -Infinity

  const seenOf = (host: KnownHost): SeenHome => {
    const { name, process } = host
    const known = seen.get(name)
    if (known?.process === process) {
      return known
    }
    const fresh: SeenHome = {
      host,
      process,
      isSilent: false,
      silentAt: -Infinity,
      leaving: false,
      loads: new Map(),
      overhead: { meanMs: 0, at: -Infinity },
      inProgress: known?.inProgress ?? new Map<string, number>(),
      lastAnswerAt: -Infinity
    }
    seen.set(name, fresh)
    return fresh
  }
  const loadAt = ({ loads, inProgress }: SeenHome, upstream: string): number => {
    const told = loads.get(upstream)
    const toldNow = told === undefined ? 0 : faded(told.load, told.at, LOAD_HALF_LIFE_MS)
    return Math.max(toldNow, inProgress.get(upstream) ?? 0)
  }
  /** What was seen some time ago counts less and less, so that a home which was busy is tried again. */
  const overheadOf = ({ overhead: { meanMs, at } }: SeenHome): number =>
    faded(meanMs, at, OVERHEAD.halfLifeMs)
  const noteOverhead = (home: SeenHome, overheadMs: number): void => {
    const meanMs = overheadOf(home) * (1 - OVERHEAD.newPart) + overheadMs * OVERHEAD.newPart
    home.overhead = { meanMs, at: performance.now() }
  }
  const costOf = (home: KnownHost, upstream: string): number => {
    const known = seenOf(home)
    return loadAt(known, upstream) * LOAD_COST_MS + overheadOf(known)
  }
  return {
    choose: (upstream, homes, tried, organisation = '') => {
      const fit = homes.filter((home) => {
        const { isSilent, leaving } = seenOf(home)
        return !tried.has(home.name) && !isSilent && !leaving
      })
      // Two drawn at random: hosts that all went to the one that told the least would overload it.
      // The home where the organisation's connections are.
      const [preferred] = organisation === '' ? [] : orderByScore(organisation, fit)
      const cost = (home: KnownHost): number =>
        costOf(home, upstream) + (preferred === undefined || home === preferred ? 0 : OTHER_HOME_MS)
      const drawn = fit.length <= 2 ? fit : drawTwo(fit, preferred)
      return drawn.sort((left, right) => cost(left) - cost(right) || Math.random() - 0.5)[0]
    },
    sent: (home, upstream) => {
      const { inProgress } = seenOf(home)
      inProgress.set(upstream, (inProgress.get(upstream) ?? 0) + 1)
    },
    ended: (home, upstream) => {
      const { inProgress } = seenOf(home)
      inProgress.set(upstream, Math.max(0, (inProgress.get(upstream) ?? 0) - 1))
    },
    answered: (home, upstream, report, overheadMs) => {
      const known = seenOf(home)
      known.lastAnswerAt = performance.now()
      known.isSilent = false
      if (report !== undefined) {
        known.leaving = report.leaving
        known.loads.set(upstream, { load: report.load, at: performance.now() })
      }
      if (overheadMs !== undefined) {
        noteOverhead(known, overheadMs)
      }
    },
    failed: (home) => {
      const known = seenOf(home)
      if (!known.isSilent) {
        known.isSilent = true
        known.silentAt = performance.now()
      }
    },
    isSilent: (home) => seenOf(home).isSilent,
    takeDue: (homes) => {
      const latest = performance.now() - ASK_AGAIN_MS
      const [due] = homes.map(seenOf).filter(({ isSilent, silentAt }) => isSilent && silentAt <= latest)
        .sort((left, right) => left.silentAt - right.silentAt)
      if (due === undefined || askedAgainAt > latest) {
        return undefined
      }
      askedAgainAt = performance.now()
      due.silentAt = askedAgainAt
      return due.host
    },
    lastAnswerAt: (home) => seenOf(home).lastAnswerAt,
    loadOf: (upstream) => [...seen.values()].reduce((sum, home) => sum + (home.inProgress.get(upstream) ?? 0), 0)
  }
}

/** What is left of a value that was seen some time ago, and counts half after each half-life. */
function faded (value: number, seenAt: number, halfLifeMs: number): number {
  return value * 0.5 ** ((performance.now() - seenAt) / halfLifeMs)
}

/** Draws two items; one of them is the given one, if any. */
function drawTwo<Item> (items: Item[], given?: Item): Item[] {
  const first = given === undefined ? Math.floor(Math.random() * items.length) : items.indexOf(given)
  const second = Math.floor(Math.random() * (items.length - 1))
  return [items[first]!, items[second < first ? second : second + 1]!]
}
