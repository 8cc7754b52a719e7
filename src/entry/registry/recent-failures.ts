/** Remembers hosts that returned no result recently, so that others are asked before them. */
import type { KnownHost } from './snapshot.ts'

/** Time for which a host that failed is asked after the others, in milliseconds: a restart takes less. */
const REMEMBER_MS = 2000

/** Hosts that failed recently. */
interface RecentFailures {
  /** Records that a host returned no result. */
  record: (host: KnownHost) => void
  /**
   * Orders hosts.
   *
   * @param hosts - the hosts, the best first
   * @returns the same, those that failed recently at the end
   */
  order: (hosts: KnownHost[]) => KnownHost[]
}

/**
 * Creates the memory, which is empty.
 *
 * @returns the memory
 */
export function createRecentFailures (): RecentFailures {
  const until = new Map<string, number>()
  const hasFailed = ({ name }: KnownHost): boolean => (until.get(name) ?? 0) > performance.now()
  return {
    record: ({ name }) => { until.set(name, performance.now() + REMEMBER_MS) },
    order: (hosts) => [...hosts.filter((host) => !hasFailed(host)), ...hosts.filter(hasFailed)]
  }
}
