/**
 * How many connections to an upstream a host may have, and how many it keeps open when idle.
 *
 * Inputs: the cap (connections that the upstream takes from all hosts), its homes, whether this host is one of them,
 * the time since this process started, in milliseconds. Rule: homes share the cap, less {@link RESERVED}, equally; in
 * its first {@link MODEST_START_MS} a home opens no more than it keeps. Any other host has one.
 */

/**
 * Part of the cap that homes leave free, and the least number of connections: for questions of control, and for hosts
 * that reach no home.
 */
const RESERVED = { part: 0.1, least: 2 } as const
/**
 * Part of its share that a home keeps open when idle. Connections of hosts that lose power count at the upstream for
 * some seconds; with half of them free, all hosts can be back at once.
 */
const KEPT_PART = 0.5
/**
 * Time after its start in which a home opens no more than it keeps when idle, in milliseconds. When all hosts have lost
 * power, the connections of their former processes count at the upstreams for 3 s, and a host that opens more takes it
 * from others.
 */
export const MODEST_START_MS = 4000
/** Connections of a host that is no home of the upstream, for when it reaches none. */
const OF_OTHERS = { kept: 0, share: 1 } as const

/** Connections that a host may have. */
export interface ConnectionLimits {
  /** Kept open when idle. */
  kept: number
  /** Its part of all that the upstream takes. */
  share: number
}

/** What the limits depend on. */
interface LimitInput {
  /** Connections that the upstream takes from all hosts; undefined while unknown. */
  cap: number | undefined
  /** Number of its homes. */
  homes: number
  /** Whether this host is one of them. */
  isHome: boolean
  /** Time since this process started, in milliseconds. */
  uptimeMs: number
}

/**
 * Computes the limits of this host.
 *
 * @param input - the cap and the homes
 * @returns the limits
 */
export function connectionLimits ({ cap, homes, isHome, uptimeMs }: LimitInput): ConnectionLimits {
  if (cap === undefined || !isHome) {
    return OF_OTHERS
  }
  const reserved = Math.max(RESERVED.least, Math.ceil(cap * RESERVED.part))
  const share = Math.max(1, Math.floor((cap - reserved) / homes))
  const kept = Math.max(1, Math.floor(share * KEPT_PART))
  return { kept, share: uptimeMs < MODEST_START_MS ? kept : share }
}
