/**
 * State of each home as observed by this host: whether it responds, its load, and the statements in progress there.
 * A restarted process starts with a new state but inherits the counts of statements in progress. Hosts that have left
 * the registry are dropped, since host names change over the lifetime of this process.
 */
import type { KnownHost } from '../registry/index.ts'

/** What a home has reported about one upstream. */
interface ReportedLoad {
  /** Statements and transactions there that use a connection to the upstream or wait for one. */
  load: number
  /** Time of the report, on the monotonic clock. */
  at: number
  /** How long a statement would wait, in milliseconds; 0 if none waits or the home does not report it. */
  waitMs: number
  /** Priority of the statements that `waitMs` applies to; others may be served earlier if theirs is lower. */
  priority: number
}

/** Observed state of one home; times on the monotonic clock, in milliseconds. */
export interface HomeState {
  host: KnownHost
  /** Id of the process that the state belongs to; it changes when the host restarts. */
  process: string
  /** Whether the home has failed and not answered since. */
  isSilent: boolean
  /** When it failed, or was last probed while silent. */
  silentAt: number
  leaving: boolean
  /** What the home has reported last, by upstream. */
  loads: Map<string, ReportedLoad>
  /** Moving average of the time that answers took beyond the statement itself, and when it was last updated. */
  overhead: { meanMs: number, at: number }
  /** Number of statements in progress there, by upstream. */
  inProgress: Map<string, number>
  lastAnswerAt: number
}

/** States of all homes that this host has contacted. */
interface HomeStates {
  /**
   * Returns the state of a home, creating it when the host or its process is new. A state for an older process than the
   * stored one is not stored; it shares only the counts of statements in progress.
   */
  of: (host: KnownHost) => HomeState
  /** Drops hosts that are not in the list and have no statements in progress. */
  retain: (hosts: KnownHost[]) => void
  /** Drops the loads reported for an upstream. */
  forgetUpstream: (upstream: string) => void
  /** Number of hosts with a state. */
  readonly size: number
  /** Number of statements in progress at an upstream through all homes. */
  inProgressAt: (upstream: string) => number
}

/**
 * Creates an empty set of states.
 *
 * @returns the states
 */
export function createHomeStates (): HomeStates {
  const states = new Map<string, HomeState>()
  return {
    of: (host) => {
      const known = states.get(host.name)
      if (known?.process === host.process) {
        return known
      }
      const fresh = createHomeState(host, known?.inProgress)
      if (known === undefined || host.version >= known.host.version) {
        states.set(host.name, fresh)
      }
      return fresh
    },
    retain: (hosts) => {
      const names = new Set(hosts.map(({ name }) => name))
      const gone = [...states.values()].filter(({ host, inProgress }) => !names.has(host.name) && inProgress.size === 0)
      gone.forEach(({ host }) => states.delete(host.name))
    },
    forgetUpstream: (upstream) => states.forEach(({ loads }) => loads.delete(upstream)),
    get size () { return states.size },
    inProgressAt: (upstream) =>
      [...states.values()].reduce((sum, { inProgress }) => sum + (inProgress.get(upstream) ?? 0), 0)
  }
}

function createHomeState (host: KnownHost, inProgress = new Map<string, number>()): HomeState {
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
 * Updates the number of statements in progress at a home.
 *
 * @param home - the home
 * @param upstream - the upstream that executes them
 * @param change - 1 when a statement was sent, -1 when one has ended
 */
export function countInProgress ({ inProgress }: HomeState, upstream: string, change: 1 | -1): void {
  const count = Math.max(0, (inProgress.get(upstream) ?? 0) + change)
  count === 0 ? inProgress.delete(upstream) : inProgress.set(upstream, count)
}
