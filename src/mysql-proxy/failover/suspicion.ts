/** Collects recent observations that the primary of a group does not answer, by failure domain of the observer. */

/** Time after which an observation expires, in milliseconds. */
const OBSERVATION_TTL_MS = 1000

/** An observation that an upstream does not answer. */
export interface Observation {
  upstream: string
  /** Term that the observer expects the upstream to lead. */
  term: number
  /** Failure domain of the observer. */
  failureDomain: string
}

/** Recent observations of one group. */
interface Suspicion {
  /** Adds an observation, timestamped now. */
  record: (observation: Observation) => void
  /**
   * Counts the failure domains with a recent observation of an upstream.
   *
   * @param upstream - name of the upstream
   * @param term - observations of other terms are ignored
   * @returns number of failure domains
   */
  countDomains: (upstream: string, term: number) => number
  /** Removes all observations. */
  clear: () => void
}

/**
 * Creates an empty collection of observations.
 *
 * @returns the collection
 */
export function createSuspicion (): Suspicion {
  const observedAt = new Map<string, number>()
  const keyOf = ({ upstream, term, failureDomain }: Observation): string => `${upstream}\0${term}\0${failureDomain}`
  return {
    record: (observation) => observedAt.set(keyOf(observation), performance.now()),
    countDomains: (upstream, term) => {
      const now = performance.now()
      for (const [key, at] of observedAt) {
        if (now - at > OBSERVATION_TTL_MS) {
          observedAt.delete(key)
        }
      }
      const prefix = `${upstream}\0${term}\0`
      return [...observedAt.keys()].filter((key) => key.startsWith(prefix)).length
    },
    clear: () => observedAt.clear()
  }
}
