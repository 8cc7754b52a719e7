/** Tracks the health of a group's primary: consecutive failed probes of this keeper, and observations of others. */
import { createSuspicion, type Observation } from './suspicion.ts'
import { countFailure, isUnreachable } from './unreachable.ts'

/** Health of a group's primary. */
export interface PrimaryHealth {
  /** Consecutive failures of this keeper, as counted by `countFailure`. */
  readonly failures: number
  /** Resets the count of failures after a successful probe. */
  recordAnswer: () => void
  /**
   * Counts a failed probe.
   *
   * @param error - cause of the failure
   * @returns whether the count has reached the threshold for an observation
   */
  recordFailure: (error: Error) => boolean
  /** Adds a failure observation of this keeper or of another process. */
  recordObservation: (observation: Observation) => void
  /**
   * Decides whether a primary is unreachable.
   *
   * @param primary - name of the upstream
   * @param term - term that it leads
   * @returns whether it is unreachable
   */
  isUnreachable: (primary: string, term: number) => boolean
  /** Discards failures and observations after a change of primary. */
  reset: () => void
}

/**
 * Creates a health tracker without failures.
 *
 * @param failuresNeeded - consecutive failures that make an observation
 * @returns the tracker
 */
export function createPrimaryHealth (failuresNeeded: number): PrimaryHealth {
  const suspicion = createSuspicion()
  let failures = 0
  return {
    get failures () { return failures },
    recordAnswer: () => { failures = 0 },
    recordFailure: (error) => {
      failures = countFailure(failures, failuresNeeded, error)
      return failures >= failuresNeeded
    },
    recordObservation: (observation) => suspicion.record(observation),
    isUnreachable: (primary, term) =>
      isUnreachable({ failures, failuresNeeded, domains: suspicion.countDomains(primary, term) }),
    reset: () => {
      failures = 0
      suspicion.clear()
    }
  }
}
