/**
 * Which part of all hosts this host can see: its share of a limit while another may own the limit for the rest.
 *
 * Inputs: what is known of each other host, by answers to this host and by requests from it. Rule: this host and those
 * that answer, or have requested lately, against those and the silent ones; hosts of which nothing is known don't
 * count.
 */

/** What is known of one other host. */
interface HostSight {
  reachability: 'answers' | 'silent' | 'unknown'
  /** Whether it has requested operations lately. */
  isRecentRequester: boolean
}

/**
 * Computes the part.
 *
 * @param others - what is known of each other host
 * @returns the part, above 0 and up to 1
 */
export function seenPartOf (others: readonly HostSight[]): number {
  const silent = others.filter(({ reachability }) => reachability === 'silent').length
  const seen = others.filter(({ reachability, isRecentRequester }) =>
    reachability === 'answers' || isRecentRequester).length
  return (1 + seen) / (1 + seen + silent)
}
