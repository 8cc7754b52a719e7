/** Probes upstreams that have not answered for long, so that an unreachable one is detected. */
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { PROBE_TIMEOUT_MS } from './probe-times.ts'

/** Minimum time between two probes of an upstream, in milliseconds. */
const MINIMUM_PROBE_INTERVAL_MS = 250

/**
 * Creates a function that probes an upstream at most once in {@link MINIMUM_PROBE_INTERVAL_MS}.
 *
 * @param directory - the upstreams
 * @param pools - the connections to probe them on
 * @returns the function, which takes the name of an upstream
 */
export function createSuspectProbe (
  directory: Pick<Directory, 'get'>, pools: Pick<Pools, 'probe'>
): (upstream: string) => void {
  const recentlyProbed = new Set<string>()
  return (name) => {
    const upstream = directory.get(name)
    if (upstream === undefined || recentlyProbed.has(name)) {
      return
    }
    recentlyProbed.add(name)
    void Promise.all([pools.probe(upstream, PROBE_TIMEOUT_MS), pause(MINIMUM_PROBE_INTERVAL_MS)])
      .finally(() => recentlyProbed.delete(name))
  }
}
