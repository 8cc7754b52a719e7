/**
 * Tells which hosts may have started just now: those whose process this host has seen for a short time only, which
 * after its own start are all. While processes start, the first link between two of them takes several turns of both
 * event loops, each 70 to 150 ms long: of 16 hosts that started at once, most took others for failed, probed all the
 * rest, and refused what they could have forwarded. A late link to such a host therefore is no failure of it, and a
 * late answer counts later. A refused connection counts as it does at any other time.
 */
import type { KnownHost, Registry } from '../registry/index.ts'

/** Time for which a process counts as starting after this host has seen it first, in milliseconds. */
const STARTING_MS = 2000

/** The hosts that may have started just now. */
export interface StartingHosts {
  /** Whether a host may have started just now. */
  isStarting: (host: Pick<KnownHost, 'name' | 'process'>) => boolean
}

/**
 * Tracks since when the process of each host is known.
 *
 * @param registry - the list of hosts
 * @returns the hosts that may have started just now
 */
export function trackStartingHosts (registry: Pick<Registry, 'current' | 'onChange'>): StartingHosts {
  let seen = new Map<string, { process: string, since: number }>()
  let { liveHosts } = registry.current
  const record = (): void => {
    liveHosts = registry.current.liveHosts
    seen = new Map(liveHosts.map(({ name, process }) => {
      const known = seen.get(name)
      return [name, known?.process === process ? known : { process, since: performance.now() }]
    }))
  }
  record()
  registry.onChange(() => {
    if (registry.current.liveHosts !== liveHosts) {
      record()
    }
  })
  return {
    isStarting: ({ name, process }) => {
      const known = seen.get(name)
      return known?.process === process && performance.now() - known.since < STARTING_MS
    }
  }
}
