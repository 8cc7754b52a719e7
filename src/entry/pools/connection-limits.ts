/**
 * Computes how many connections to an upstream this host may open, and how many it retains when they are idle. The
 * homes of an upstream share its connection cap equally, less a reserve; every other host may open one connection.
 */

/**
 * Part of the cap that homes leave free, as a fraction and as a minimum number of connections. It serves control
 * requests and hosts that reach no home.
 */
const RESERVED = { fraction: 0.1, minimum: 2 } as const
/**
 * Fraction of its maximum that a home retains when idle. An upstream counts the connections of a host without power
 * for some seconds, so the rest must suffice for hosts that restart meanwhile.
 */
const RETAINED_FRACTION = 0.5
/**
 * Time after the start of the process during which a home opens only as many connections as it retains, in
 * milliseconds. It exceeds the 3 s for which upstreams count the connections of processes that lost power; a host that
 * opens more meanwhile takes them from others.
 */
export const STARTUP_PERIOD_MS = 4000
/** Limits of a host that is not a home of the upstream, which connects directly only if it reaches no home. */
const NON_HOME_LIMITS = { retained: 0, maximum: 1 } as const

export interface ConnectionLimits {
  /** Connections above which idle ones are closed. */
  retained: number
  /** Connections that this host may have open. */
  maximum: number
}

interface LimitInput {
  /** Connections that the upstream accepts from all hosts; undefined while unknown. */
  cap: number | undefined
  /** Number of homes of the upstream. */
  homes: number
  /** Whether this host is one of the homes. */
  isHome: boolean
  /** Time since this process started, in milliseconds. */
  uptimeMs: number
}

/**
 * Computes the connection limits of this host for one upstream.
 *
 * @param input - connection cap, homes and uptime
 * @returns the limits; those of a host that is not a home while the cap is unknown
 */
export function connectionLimits ({ cap, homes, isHome, uptimeMs }: LimitInput): ConnectionLimits {
  if (cap === undefined || !isHome) {
    return NON_HOME_LIMITS
  }
  const reserved = Math.max(RESERVED.minimum, Math.ceil(cap * RESERVED.fraction))
  const maximum = Math.max(1, Math.floor((cap - reserved) / homes))
  const retained = Math.max(1, Math.floor(maximum * RETAINED_FRACTION))
  return { retained, maximum: uptimeMs < STARTUP_PERIOD_MS ? retained : maximum }
}
