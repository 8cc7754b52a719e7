/** Tracks the health of a group's primary: consecutive failed probes of this keeper, and observations of others. */
import type { ProbeLog } from './probe-log.ts'
import { createSuspicion, type Observation } from './suspicion.ts'
import { countFailure, isUnreachable } from './unreachable.ts'

/** Options of {@link createPrimaryHealth}. */
interface PrimaryHealthOptions {
  /** Consecutive failures that make an observation. */
  failuresNeeded: number
  log: ProbeLog
}

/** Health of a group's primary. */
export interface PrimaryHealth {
  /** Consecutive failures of this keeper, as counted by `countFailure`. */
  readonly failures: number
  /** Resets the count of failures after a successful probe. */
  recordAnswer: () => void
  /**
   * Counts and logs a failed probe.
   *
   * @param upstream - name of the primary
   * @param error - cause of the failure
   * @returns whether the count has reached the threshold for an observation
   */
  recordFailure: (upstream: string, error: Error) => boolean
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
 * @param options - the threshold, and the log of failed probes
 * @returns the tracker
 */
export function createPrimaryHealth ({ failuresNeeded, log }: PrimaryHealthOptions): PrimaryHealth {
  const suspicion = createSuspicion()
  let failures = 0
  return {
    get failures () { return failures },
    recordAnswer: () => {
      failures = 0
      log.answered()
    },
    recordFailure: (upstream, error) => {
      failures = countFailure(failures, failuresNeeded, error)
      log.failed({ upstream, failures, error })
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
