/**
 * What this host has seen of each home: whether it answers, how much it has to do, what is in progress there. Owns that
 * state; a restarted process of a host is another home, but what is in progress there goes on being counted. Hosts come
 * and go under new names for as long as this process runs, so those that are gone are dropped.
 */
import type { KnownHost } from '../registry/index.ts'

/** What is known of one home; times on the steady clock, in milliseconds. */
export interface SeenHome {
  host: KnownHost
  /** Process that was seen; a restarted one is another. */
  process: string
  /** Whether it has failed and not answered since. */
  isSilent: boolean
  /** When it failed, or was last probed while silent. */
  silentAt: number
  leaving: boolean
  /** Load by upstream, and when it was reported. */
  loads: Map<string, { load: number, at: number }>
  /** What answers took beyond the statement itself, in milliseconds, and when that was last seen. */
  overhead: { meanMs: number, at: number }
  /** Statements in progress there, by upstream. */
  inProgress: Map<string, number>
  lastAnswerAt: number
}

/** Homes that this host has seen. */
interface SeenHomes {
  /**
   * Returns what is known of a home: nothing of a process that was not seen before. What is learned late of an earlier
   * process is not kept, but for the count of what is in progress.
   */
  of: (host: KnownHost) => SeenHome
  /** Drops hosts that are not in a list, unless something is in progress there. */
  retain: (hosts: KnownHost[]) => void
  /** Drops what is known of an upstream. */
  forgetUpstream: (upstream: string) => void
  /** Number of hosts that are remembered. */
  readonly size: number
  /** Statements that this host has in progress at an upstream through homes. */
  inProgressAt: (upstream: string) => number
}

/**
 * Creates the state; no home has been seen yet.
 *
 * @returns the state
 */
export function createSeenHomes (): SeenHomes {
  const seen = new Map<string, SeenHome>()
  return {
    of: (host) => {
      const known = seen.get(host.name)
      if (known?.process === host.process) {
        return known
      }
      const fresh = createSeenHome(host, known?.inProgress)
      if (known === undefined || host.version >= known.host.version) {
        seen.set(host.name, fresh)
      }
      return fresh
    },
    retain: (hosts) => {
      const names = new Set(hosts.map(({ name }) => name))
      const gone = [...seen.values()].filter(({ host, inProgress }) => !names.has(host.name) && inProgress.size === 0)
      gone.forEach(({ host }) => seen.delete(host.name))
    },
    forgetUpstream: (upstream) => seen.forEach(({ loads }) => loads.delete(upstream)),
    get size () { return seen.size },
    inProgressAt: (upstream) =>
      [...seen.values()].reduce((sum, { inProgress }) => sum + (inProgress.get(upstream) ?? 0), 0)
  }
}

function createSeenHome (host: KnownHost, inProgress = new Map<string, number>()): SeenHome {
  return {
    host,
    process: host.process,
    isSilent: false,
    silentAt: -Infinity,
    leaving: false,
    loads: new Map(),
    overhead: { meanMs: 0, at: -Infinity },
    inProgress,
    lastAnswerAt: -Infinity
  }
}

/**
 * Counts statements in progress at a home.
 *
 * @param home - the home
 * @param upstream - where they run
 * @param change - 1 when one was sent, -1 when one has ended
 */
export function countInProgress ({ inProgress }: SeenHome, upstream: string, change: 1 | -1): void {
  const count = Math.max(0, (inProgress.get(upstream) ?? 0) + change)
  count === 0 ? inProgress.delete(upstream) : inProgress.set(upstream, count)
}
