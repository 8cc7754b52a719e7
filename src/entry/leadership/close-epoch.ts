/** Makes sure that no host works at a primary any more before another upstream is promoted. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Peers } from '../../peers/index.ts'
import { isRefusal } from '../../peers/refusal.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { CLOSE_TRY_MS, SILENT_PART } from './consts.ts'
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'

/** How it is known that a host does not work at the primary any more. */
type ClosedBecause = 'acknowledged' | 'told-by-row' | 'not-running' | 'restarted' | 'unregistered' | 'lease-expired' | 'retired'

/** Options of {@link awaitClosed}. */
interface ClosingOptions {
  group: string
  epoch: number
  registry: Registry
  peers: Peers
  logger: Logger
  /** When it was certain that no host could be confirmed in this epoch any more, on the steady clock. */
  closedAt: number
}

/** Pause before a silent host is asked again, in milliseconds. */
const RETRY_MS = 100

/** What is known of the hosts while one waits for them. */
interface ClosingProgress {
  /** Hosts that were registered, this one included. */
  hosts: number
  /** Hosts that have not been heard yet. */
  silent: number
  /** When the last of the others stopped, on the steady clock. */
  lastStoppedAt: number
}

/**
 * Waits until no host works at the primary of an epoch. A host that answers stops at once; one that refuses
 * connections does not run; one that runs as another process has no right of its former life;
 * one that hears the store but no peer says in its row that it has stopped; and the right of one that stays silent has
 * lapsed after a while.
 *
 * @param options - the group and the epoch
 */
export async function awaitClosed (options: ClosingOptions): Promise<void> {
  const { registry, logger, group, epoch, closedAt } = options
  const others = registry.current.hosts.filter(({ name }) => name !== registry.self.name)
  const progress: ClosingProgress = { hosts: others.length + 1, silent: others.length, lastStoppedAt: closedAt }
  await Promise.all(others.map(async (host) => {
    const because = await awaitHost(host, options, progress)
    progress.silent--
    progress.lastStoppedAt = because === 'lease-expired' ? progress.lastStoppedAt : performance.now()
    logger.log('info', 'leadership.host-closed', {
      group, epoch, peer: host.name, because, waitedMs: Math.round(performance.now() - closedAt)
    })
  }))
}

/**
 * Returns when the rights of silent hosts have lapsed. With few of them no majority can extend their rights any more
 * once the others have stopped; with many, only the greatest age of a confirmation counts.
 */
function lapsesAt ({ hosts, silent, lastStoppedAt }: ClosingProgress, closedAt: number): number {
  return silent <= hosts * SILENT_PART
    ? lastStoppedAt + PRIMARY_LEASE_MS + LEASE_MARGIN_MS
    : closedAt + EXTENDED_LEASE_MS + LEASE_MARGIN_MS
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
    // A host that was given up and is back may be the same process, which has not read the table yet: it is asked.
    if (host.retiredUntilMs === undefined && now.retiredUntilMs === undefined && now.process !== host.process) {
      return 'restarted'
    }
    if (performance.now() >= lapsesAt(progress, closedAt)) {
      return 'lease-expired'
    }
    try {
      await peers.ask(host, 'close-group', { group, epoch }, CLOSE_TRY_MS)
      return 'acknowledged'
    } catch (thrown) {
      if (isRefusal(thrown)) {
        return 'not-running'
      }
      logger.log('debug', 'leadership.host-silent', { group, epoch, peer: host.name, reason: describeThrown(thrown) })
      await registry.refresh()
      await pause(RETRY_MS)
    }
  }
}
