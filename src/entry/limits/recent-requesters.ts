/**
 * Which hosts are asked whether they are alive because they have gone silent as requesters: silent towards this host as
 * the owner of limits, unlike a home that is silent when it is asked (homes/home-watch.ts).
 *
 * Inputs: when each host last requested operations here, in milliseconds. Rule: when this host refuses, hosts that
 * requested before and not within {@link SILENT_REQUESTERS} are checked. Why: they may be out of touch and request from
 * a deputy, so that both together grant too much.
 */
import type { KnownHost } from '../registry/index.ts'

/**
 * Time after which a host that has requested operations counts as silent, for which it is remembered, and the least
 * pause between two rounds of checks, in milliseconds. Hosts of an organisation that is refused ask again within half a
 * second.
 */
const SILENT_REQUESTERS = { afterMs: 700, rememberedMs: 10_000, pauseMs: 500 } as const

/** Options of {@link createRecentRequesters}. */
interface RecentRequestersOptions {
  /** Asks a host whether it is alive. */
  check: (host: KnownHost) => void
}

/** Hosts that request operations here. */
interface RecentRequesters {
  /** Records that a host has requested operations. */
  record: (host: string) => void
  /** Whether a host has requested lately. */
  isRecent: (host: string) => boolean
  /** Has those checked that have requested before and not lately. */
  checkSilent: (hosts: KnownHost[]) => void
}

/**
 * Creates the record; no host has requested anything yet.
 *
 * @param options - asks whether hosts are alive
 * @returns the record
 */
export function createRecentRequesters ({ check }: RecentRequestersOptions): RecentRequesters {
  const requestedAt = new Map<string, number>()
  let checkedAt = -Infinity

  const silenceOf = (host: string): number => performance.now() - (requestedAt.get(host) ?? -Infinity)
  return {
    record: (host) => { requestedAt.set(host, performance.now()) },
    isRecent: (host) => silenceOf(host) <= SILENT_REQUESTERS.afterMs,
    checkSilent: (hosts) => {
      const now = performance.now()
      if (now - checkedAt < SILENT_REQUESTERS.pauseMs) {
        return
      }
      checkedAt = now
      hosts
        .filter(({ name }) => silenceOf(name) > SILENT_REQUESTERS.afterMs)
        .filter(({ name }) => silenceOf(name) <= SILENT_REQUESTERS.rememberedMs)
        .forEach(check)
    }
  }
}
