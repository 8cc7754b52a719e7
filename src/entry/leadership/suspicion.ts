/** Probes upstreams that have been silent for long, so that an unreachable one is noticed. */
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { PROBE_MS } from './probe-times.ts'

/** Least time between two probes of a silent upstream, in milliseconds. */
const SUSPECT_MS = 250

/**
 * Creates the probes; each upstream is probed no more often than every {@link SUSPECT_MS}.
 *
 * @param directory - the upstreams
 * @param pools - probes them
 * @returns probes an upstream, given its name
 */
export function createSuspicion (
  directory: Pick<Directory, 'get'>, pools: Pick<Pools, 'probe'>
): (upstream: string) => void {
  const suspected = new Set<string>()
  return (name) => {
    const upstream = directory.get(name)
    if (upstream === undefined || suspected.has(name)) {
      return
    }
    suspected.add(name)
    void Promise.all([pools.probe(upstream, PROBE_MS), pause(SUSPECT_MS)]).finally(() => suspected.delete(name))
  }
}
