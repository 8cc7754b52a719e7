/**
 * Computes the fraction of all hosts that this host can reach, which is its share of a limit during a partition. This
 * host counts, and so do hosts that answer or have recently sent requests; hosts in unknown state are left out.
 */

/** Status of another host. */
interface HostStatus {
  reachability: 'answers' | 'silent' | 'unknown'
  /** Whether it has requested grants from this host recently. */
  isRecentRequester: boolean
}

/**
 * Computes the fraction.
 *
 * @param others - status of each other host
 * @returns the fraction, above 0 and up to 1
 */
export function reachableShareOf (others: readonly HostStatus[]): number {
  const silent = others.filter(({ reachability }) => reachability === 'silent').length
  const reachable = others.filter(({ reachability, isRecentRequester }) =>
    reachability === 'answers' || isRecentRequester).length
  return (1 + reachable) / (1 + reachable + silent)
}
