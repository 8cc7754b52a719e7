/** Remembers hosts that brought nothing lately, so that others are asked before them. */
import type { KnownHost } from './snapshot.ts'

/** Time for which a host that brought nothing is asked after the others, in milliseconds: a restart takes less. */
const REMEMBER_MS = 2000

/** Hosts that are asked after others. */
interface RecentFailures {
  /** Takes note that a host brought nothing. */
  note: (host: KnownHost) => void
  /**
   * Orders hosts.
   *
   * @param hosts - the hosts, the best first
   * @returns the same, those that brought nothing lately at the end
   */
  order: (hosts: KnownHost[]) => KnownHost[]
}

/**
 * Creates the memory; nothing has been noted yet.
 *
 * @returns the memory
 */
export function createRecentFailures (): RecentFailures {
  const until = new Map<string, number>()
  const isAvoided = ({ name }: KnownHost): boolean => (until.get(name) ?? 0) > performance.now()
  return {
    note: ({ name }) => { until.set(name, performance.now() + REMEMBER_MS) },
    order: (hosts) => [...hosts.filter((host) => !isAvoided(host)), ...hosts.filter(isAvoided)]
  }
}
