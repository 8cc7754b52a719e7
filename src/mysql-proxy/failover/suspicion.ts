/**
 * Recent observations that the primary of a group does not answer, by failure domain. Owns them; `unreachable.ts`
 * decides how many are enough.
 */

/** Time for which an observation counts, in milliseconds. */
const OBSERVATION_MS = 1000

/** An observation of a failure. */
export interface Observation {
  upstream: string
  term: number
  failureDomain: string
}

/** Collects observations of one group. */
interface Suspicion {
  /** Adds an observation, with this moment as its time. */
  record: (observation: Observation) => void
  /**
   * Counts the failure domains that have lately seen an upstream fail in a term.
   *
   * @param upstream - the upstream
   * @param term - the term
   * @returns their number
   */
  countDomains: (upstream: string, term: number) => number
  /** Drops all observations, since they concern an older term. */
  clear: () => void
}

/**
 * Creates an empty collection.
 *
 * @returns the collection
 */
export function createSuspicion (): Suspicion {
  const seenAt = new Map<string, number>()
  const keyOf = ({ upstream, term, failureDomain }: Observation): string => `${upstream}\0${term}\0${failureDomain}`
  return {
    record: (observation) => seenAt.set(keyOf(observation), performance.now()),
    countDomains: (upstream, term) => {
      const now = performance.now()
      for (const [key, at] of seenAt) {
        if (now - at > OBSERVATION_MS) {
          seenAt.delete(key)
        }
      }
      const prefix = `${upstream}\0${term}\0`
      return [...seenAt.keys()].filter((key) => key.startsWith(prefix)).length
    },
    clear: () => seenAt.clear()
  }
}
