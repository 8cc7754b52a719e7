/**
 * Waits until no host uses the primary of a closed epoch, so that another upstream can be promoted. A host counts as
 * stopped if it acknowledges the request, was restarted or has retired, if its row says so or is gone, or if its leases
 * have expired (`silent-leases.ts`). A refused connection proves nothing: a firewall on the way refuses as well, while
 * the host works on.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { ownValue } from '../../core/own-value.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { HOST_REQUEST_TIMEOUT_MS } from './probe-times.ts'
import { trackClosing, type ClosingProgress } from './silent-leases.ts'

/** Evidence that a host has stopped using the primary. */
type StopEvidence = 'acknowledged' | 'published' | 'restarted' | 'unregistered' | 'lease-expired' | 'retired'

/** Options of {@link awaitHostsStopped}. */
interface ClosingOptions {
  group: string
  epoch: number
  registry: Registry
  peers: Peers
  logger: Logger
  /** Time from which no host could confirm a lease in this epoch, on the monotonic clock. */
  closedAt: number
}

/** Pause between two requests to a silent host, in milliseconds. */
const RETRY_MS = 100
/** Minimum time from one request to the next, in milliseconds, since a refused request returns at once. */
const REQUEST_INTERVAL_MS = 300

/**
 * Waits until no host uses the primary of an epoch.
 *
 * @param options - the group and the epoch
 */
export async function awaitHostsStopped (options: ClosingOptions): Promise<void> {
  const { registry, logger, group, epoch, closedAt } = options
  const others = registry.current.hosts.filter(({ name }) => name !== registry.self.name)
  const progress = trackClosing({
    self: registry.self.name, others: others.map(({ name }) => name), standingOf: registry.rowStanding, closedAt
  })
  await Promise.all(others.map(async (host) => {
    const because = await awaitHostStopped(host, options, progress)
    if (because !== 'lease-expired') {
      progress.recordStop(host.name)
    }
    logger.log('info', 'leadership.host-stopped', {
      group, epoch, peer: host.name, because, waitedMs: Math.round(performance.now() - closedAt)
    })
  }))
}

async function awaitHostStopped (
  host: KnownHost, options: ClosingOptions, progress: ClosingProgress
): Promise<StopEvidence> {
  const { registry, peers, group, epoch, logger } = options
  for (;;) {
    const latest = registry.current.hosts.find(({ name }) => name === host.name)
    if (latest === undefined) {
      return 'unregistered'
    }
    if ((ownValue(latest.stopped ?? {}, group) ?? 0) >= epoch) {
      return 'published'
    }
    if (registry.haveLeasesExpired(latest)) {
      return 'retired'
    }
    // A retired host that registers again may be the same process with an outdated snapshot, so it is asked.
    if (host.retiredUntilMs === undefined && latest.retiredUntilMs === undefined && latest.process !== host.process) {
      return 'restarted'
    }
    if (performance.now() >= progress.leasesExpireAt()) {
      return 'lease-expired'
    }
    const askedAt = performance.now()
    try {
      await peers.requestOrDisconnect(host, 'close-group', { group, epoch }, HOST_REQUEST_TIMEOUT_MS)
      return 'acknowledged'
    } catch (thrown) {
      logger.log('debug', 'leadership.host-silent', { group, epoch, peer: host.name, reason: describeThrown(thrown) })
      await registry.refresh()
      await pause(Math.max(RETRY_MS, askedAt + REQUEST_INTERVAL_MS - performance.now()))
    }
  }
}
