/**
 * Recognises a common start of all hosts, as after a loss of power, from their rows in the registry. Every process that
 * ran before has ended then: a host runs one process, and the row of each shows one that started just now. No host can
 * still ask a previous owner of a limit either, because the list of hosts has not changed: each process replaced a row,
 * and none is retired or leaving.
 */
import type { KnownHost, Registry } from '../registry/index.ts'

/** Maximum time between the starts of the first and of the last process, in milliseconds. */
const COMMON_START_MS = 5000
/** Time after a common start for which it counts, in milliseconds; the usual rules establish an owner earlier. */
const COUNTS_FOR_MS = 5000

/** Recognises a common start of all hosts. */
interface CommonStart {
  /**
   * Time at which the last process had ended that ran before the common start, on the monotonic clock; undefined
   * without a recent common start.
   */
  earlierEndedAt: () => number | undefined
}

/**
 * Returns when the last process of a common start had started.
 *
 * @param hosts - rows of all hosts, also of retired ones
 * @returns the time on the store's clock, in milliseconds; undefined if the hosts have not started together
 */
export function lastCommonStartMs (hosts: readonly KnownHost[]): number | undefined {
  const starts = hosts.map(({ startedAtMs, replaces, leaving, retiredUntilMs }) =>
    replaces === undefined || leaving === true || retiredUntilMs !== undefined ? undefined : startedAtMs)
  const known = starts.filter((start) => start !== undefined)
  const last = Math.max(...known)
  return known.length === hosts.length && known.length > 0 && last - Math.min(...known) <= COMMON_START_MS
    ? last
    : undefined
}

/**
 * Creates the recognition, which reads the rows again after each change only.
 *
 * @param registry - the rows, and the store's clock
 * @returns the recognition
 */
export function createCommonStart (registry: Pick<Registry, 'current' | 'storeNowAtLeastMs'>): CommonStart {
  let hosts: readonly KnownHost[] | undefined
  let lastMs: number | undefined
  return {
    earlierEndedAt: () => {
      if (hosts !== registry.current.hosts) {
        ({ hosts } = registry.current)
        lastMs = lastCommonStartMs(hosts)
      }
      const agoMs = lastMs === undefined ? Infinity : registry.storeNowAtLeastMs() - lastMs
      return agoMs > COUNTS_FOR_MS ? undefined : performance.now() - agoMs
    }
  }
}
