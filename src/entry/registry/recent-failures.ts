/** Tracks hosts that failed to answer recently, so that other hosts are asked before them. */
import type { KnownHost } from './snapshot.ts'

/** Time for which a failure counts, in milliseconds; longer than a restart takes. */
const FAILURE_TTL_MS = 2000

interface RecentFailures {
  /** Records that a host failed to answer. */
  record: (host: KnownHost) => void
  /**
   * Moves the hosts that failed recently to the end.
   *
   * @param hosts - the hosts in order of preference
   * @returns the reordered hosts
   */
  sortFailedLast: (hosts: KnownHost[]) => KnownHost[]
}

export function createRecentFailures (): RecentFailures {
  const failedUntil = new Map<string, number>()
  const hasFailedRecently = ({ name }: KnownHost): boolean => (failedUntil.get(name) ?? 0) > performance.now()
  return {
    record: ({ name }) => { failedUntil.set(name, performance.now() + FAILURE_TTL_MS) },
    sortFailedLast: (hosts) => [...hosts.filter((host) => !hasFailedRecently(host)), ...hosts.filter(hasFailedRecently)]
  }
}
