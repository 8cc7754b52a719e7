/**
 * Tracks which hosts have recently requested grants from this host as the owner of limits.
 *
 * When this host refuses operations, it probes the hosts that used to send requests but have stopped: they may be
 * partitioned and obtain grants from a fallback owner, so that both owners together would grant too much.
 */
import type { KnownHost } from '../registry/index.ts'

/**
 * Time without a request after which a host counts as silent, time after which it is no longer probed, and least time
 * between two rounds of probes, in milliseconds. Hosts whose operations are refused send the next request earlier than
 * `afterMs`.
 */
const SILENT_REQUESTERS = { afterMs: 700, forgottenAfterMs: 10_000, minimumIntervalMs: 500 } as const

/** Options of {@link createRecentRequesters}. */
interface RecentRequestersOptions {
  /** Checks whether a host is alive. */
  probe: (host: KnownHost) => void
}

/** Tracks the hosts that request grants from this host. */
interface RecentRequesters {
  /** Records a request from a host. */
  record: (host: string) => void
  /** Whether a host has sent a request recently. */
  isRecent: (host: string) => boolean
  /** Probes the hosts that have sent requests before but not recently. */
  probeSilent: (hosts: KnownHost[]) => void
}

/**
 * Creates an empty record of requesters.
 *
 * @param options - how hosts are probed
 * @returns the record
 */
export function createRecentRequesters ({ probe }: RecentRequestersOptions): RecentRequesters {
  const requestedAt = new Map<string, number>()
  let probedAt = -Infinity

  const silenceOf = (host: string): number => performance.now() - (requestedAt.get(host) ?? -Infinity)
  return {
    record: (host) => { requestedAt.set(host, performance.now()) },
    isRecent: (host) => silenceOf(host) <= SILENT_REQUESTERS.afterMs,
    probeSilent: (hosts) => {
      const now = performance.now()
      if (now - probedAt < SILENT_REQUESTERS.minimumIntervalMs) {
        return
      }
      probedAt = now
      hosts
        .filter(({ name }) => silenceOf(name) > SILENT_REQUESTERS.afterMs)
        .filter(({ name }) => silenceOf(name) <= SILENT_REQUESTERS.forgottenAfterMs)
        .forEach(probe)
    }
  }
}
