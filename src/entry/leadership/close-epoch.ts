/**
 * Waits until no host works at the primary of a closed epoch, before another upstream is promoted. A host counts as
 * stopped when it has acknowledged the order, when its row shows so, when it is retired, when it refuses connections,
 * when it runs as another process, when its row is gone, or when its leases have expired (`silent-leases.ts`).
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Peers } from '../../peers/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { REACH_HOST_MS } from './probe-times.ts'
import { areFewSilent, silentLeasesExpireAt, type ClosingProgress } from './silent-leases.ts'

/** Why a host counts as stopped. */
type ClosedBecause =
  'acknowledged' | 'told-by-row' | 'not-running' | 'restarted' | 'unregistered' | 'lease-expired' | 'retired'

/** Options of {@link awaitClosed}. */
interface ClosingOptions {
  group: string
  epoch: number
  registry: Registry
  peers: Peers
  logger: Logger
  /** When it was certain that no host could be confirmed in this epoch any longer, on the steady clock. */
  closedAt: number
}

/** Pause before a silent host is asked again, in milliseconds. */
const RETRY_MS = 100

/**
 * Waits until no host works at the primary of an epoch.
 *
 * @param options - the group and the epoch
 */
export async function awaitClosed (options: ClosingOptions): Promise<void> {
  const { registry, logger, group, epoch, closedAt } = options
  const others = registry.current.hosts.filter(({ name }) => name !== registry.self.name)
  const progress: ClosingProgress = { hosts: others.length + 1, silent: others.length, lastStoppedAt: closedAt }
  await Promise.all(others.map(async (host) => {
    const because = await awaitHost(host, options, progress)
    // One that stops when few are left changes nothing for the others: their leases have not been extended since. Nor
    // does one whose lease has expired by the greatest age of a confirmation: those of all the others have as well.
    const changesNothing = because === 'lease-expired' || areFewSilent(progress)
    progress.lastStoppedAt = changesNothing ? progress.lastStoppedAt : performance.now()
    progress.silent--
    logger.log('info', 'leadership.host-closed', {
      group, epoch, peer: host.name, because, waitedMs: Math.round(performance.now() - closedAt)
    })
  }))
}

async function awaitHost (host: KnownHost, options: ClosingOptions, progress: ClosingProgress): Promise<ClosedBecause> {
  const { registry, peers, group, epoch, closedAt, logger } = options
  for (;;) {
    const now = registry.current.hosts.find(({ name }) => name === host.name)
    if (now === undefined) {
      return 'unregistered'
    }
    if ((now.stopped?.[group] ?? 0) >= epoch) {
      return 'told-by-row'
    }
    if (now.retiredUntilMs !== undefined && registry.storeNowAtLeastMs() >= now.retiredUntilMs) {
      return 'retired'
    }
    // A retired host that is back may be the same process, which has not read the table yet: it is asked.
    if (host.retiredUntilMs === undefined && now.retiredUntilMs === undefined && now.process !== host.process) {
      return 'restarted'
    }
    if (performance.now() >= silentLeasesExpireAt(progress, closedAt)) {
      return 'lease-expired'
    }
    try {
      await peers.requestOrDisconnect(host, 'close-group', { group, epoch }, REACH_HOST_MS)
      return 'acknowledged'
    } catch (thrown) {
      if (isConnectionRefused(thrown)) {
        return 'not-running'
      }
      logger.log('debug', 'leadership.host-silent', { group, epoch, peer: host.name, reason: describeThrown(thrown) })
      await registry.refresh()
      await pause(RETRY_MS)
    }
  }
}
