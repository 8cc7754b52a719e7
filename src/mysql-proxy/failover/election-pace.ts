/**
 * Paces the elections of a keeper. Two keepers that fence alternately prevent each other from promoting, so a keeper
 * leaves time to an election that it sees in progress, and waits longer after each of its own that failed.
 */

/** Time that an election of another keeper is given from when it is first seen, in milliseconds. */
const ELECTION_TIME_MS = 500
/** Maximum wait after failed elections, as a multiple of the first. */
const MAXIMUM_BACKOFF = 8
/** Smallest share of the wait that is drawn; the random part separates keepers that failed together. */
const MINIMUM_DRAW = 0.5

/** Options of {@link createElectionPace}. */
interface ElectionPaceOptions {
  /** Maximum wait after the first failed election, in milliseconds. */
  firstWaitMs: number
  /** Clock of the time in which this keeper runs, in milliseconds. */
  now: () => number
  random: () => number
}

/** Pace of the elections of one group. */
export interface ElectionPace {
  /** Whether the wait after a failed election of this keeper is over. */
  readonly isRested: boolean
  /** Term of the last failed election of this keeper that fenced an upstream; 0 after a change of primary. */
  readonly unfinishedTerm: number
  /**
   * Decides whether an election of another keeper may be in progress.
   *
   * @param openTerm - highest term for which an upstream is fenced without a known primary; 0 if there is none
   */
  yieldsTo: (openTerm: number) => boolean
  /**
   * Records a failed election of this keeper.
   *
   * @param term - its term; 0 if it fenced no upstream
   */
  failed: (term: number) => void
  /** Forgets all elections after a change of primary. */
  reset: () => void
}

/**
 * Creates the pace of a group without elections.
 *
 * @param options - the wait, clock and random numbers in [0, 1)
 * @returns the pace
 */
export function createElectionPace ({ firstWaitMs, now, random }: ElectionPaceOptions): ElectionPace {
  let failures = 0
  let restedAt = -Infinity
  let unfinishedTerm = 0
  let seen = { term: 0, at: 0 }
  return {
    get isRested () { return now() >= restedAt },
    get unfinishedTerm () { return unfinishedTerm },
    yieldsTo: (openTerm) => {
      if (openTerm > seen.term) {
        seen = { term: openTerm, at: now() }
      }
      return openTerm > unfinishedTerm && now() - seen.at < ELECTION_TIME_MS
    },
    failed: (term) => {
      const waitMs = firstWaitMs * Math.min(MAXIMUM_BACKOFF, 2 ** failures)
      failures++
      restedAt = now() + waitMs * (MINIMUM_DRAW + random() * (1 - MINIMUM_DRAW))
      unfinishedTerm = Math.max(unfinishedTerm, term)
    },
    reset: () => {
      failures = 0
      restedAt = -Infinity
      unfinishedTerm = 0
    }
  }
}
