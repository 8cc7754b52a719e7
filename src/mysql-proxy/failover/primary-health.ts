/**
 * Whether the primary of a group answers: this keeper's failed questions in a row, and the observations of others. Owns
 * both; `unreachable.ts` has the rule.
 */
import { createSuspicion, type Observation } from './suspicion.ts'
import { countFailure, isUnreachable } from './unreachable.ts'

/** Health of one group's primary. */
export interface PrimaryHealth {
  /** Failed questions of this keeper in a row. */
  readonly failures: number
  /** Resets the failures after an answer. */
  answered: () => void
  /**
   * Counts a failed question.
   *
   * @param error - why it failed
   * @returns whether there are enough in a row for an observation
   */
  failed: (error: Error) => boolean
  /** Adds an observation of this keeper or of another observer. */
  observe: (observation: Observation) => void
  /**
   * Decides whether the primary of a term is unreachable.
   *
   * @param primary - its name
   * @param term - the term
   * @returns whether it is
   */
  isUnreachable: (primary: string, term: number) => boolean
  /** Starts anew with another primary. */
  reset: () => void
}

/**
 * Creates the health of a primary that has not failed.
 *
 * @param failuresNeeded - failed questions in a row that make an observation
 * @returns the health
 */
export function createPrimaryHealth (failuresNeeded: number): PrimaryHealth {
  const suspicion = createSuspicion()
  let failures = 0
  return {
    get failures () { return failures },
    answered: () => { failures = 0 },
    failed: (error) => {
      failures = countFailure(failures, failuresNeeded, error)
      return failures >= failuresNeeded
    },
    observe: (observation) => suspicion.record(observation),
    isUnreachable: (primary, term) =>
      isUnreachable({ failures, failuresNeeded, domains: suspicion.countDomains(primary, term) }),
    reset: () => {
      failures = 0
      suspicion.clear()
    }
  }
}
