/** Makes sure that no host works at a primary any more before another upstream is promoted. */
import { describeThrown, RequestError } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { pause } from '../core/time/deadline.ts'
import type { Peers } from '../peers/index.ts'
import { registryKeys, type KnownHost, type Registry } from '../registry/index.ts'
import { CLOSE_TRY_MS, RIGHT_MARGIN_MS, RIGHT_MS } from './consts.ts'

/** How it is known that a host does not work at the primary any more. */
type ClosedBecause = 'acknowledged' | 'not-running' | 'restarted' | 'unregistered' | 'right-lapsed'

/** Options of {@link awaitClosed}. */
export interface ClosingOptions {
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

/**
 * Waits until no host works at the primary of an epoch. A host that answers stops at once; one that refuses
 * connections does not run; one that runs as another process has no right of its former life;
 * and the right of one that stays silent has lapsed after a while.
 *
 * @param options - the group and the epoch
 */
export async function awaitClosed (options: ClosingOptions): Promise<void> {
  const { registry, logger, group, epoch } = options
  const silent: KnownHost[] = []
  await Promise.all(registry.peers().map(async (host) => {
    const because = await awaitHost(host, options)
    if (because === 'right-lapsed') {
      silent.push(host)
    }
    logger.log('info', 'leadership.host-closed', {
      group, epoch, peer: host.name, because, waitedMs: Math.round(performance.now() - options.closedAt)
    })
  }))
  await forgetSilent(silent, options)
}

async function awaitHost (host: KnownHost, options: ClosingOptions): Promise<ClosedBecause> {
  const { registry, peers, group, epoch, closedAt, logger } = options
  const lapsesAt = closedAt + RIGHT_MS + RIGHT_MARGIN_MS
  for (;;) {
    const now = registry.current.hosts.find(({ name }) => name === host.name)
    if (now === undefined) {
      return 'unregistered'
    }
    if (now.process !== host.process) {
      return 'restarted'
    }
    if (performance.now() >= lapsesAt) {
      return 'right-lapsed'
    }
    try {
      await peers.request(host, 'close-group', { group, epoch }, CLOSE_TRY_MS)
      return 'acknowledged'
    } catch (thrown) {
      if (isRefusal(thrown)) {
        return 'not-running'
      }
      logger.log('debug', 'leadership.host-silent', { group, epoch, peer: host.name, reason: describeThrown(thrown) })
      await pause(RETRY_MS)
    }
  }
}

/** A silent host registers itself anew if it comes back; until then nobody need wait for it again. */
async function forgetSilent (silent: KnownHost[], { registry, logger }: ClosingOptions): Promise<void> {
  for (const { name, version } of silent) {
    const key = registryKeys.host(name)
    try {
      const removed = await registry.write({ expected: [{ key, version }], put: [], remove: [key] })
      logger.log('info', 'registry.host-removed', { peer: name, removed })
    } catch (thrown) {
      logger.log('warn', 'registry.host-not-removed', { peer: name, reason: describeThrown(thrown) })
    }
  }
}

/**
 * Says whether a failed request to a peer shows that no process listens there.
 *
 * @param thrown - the failure
 * @returns whether the connection was refused
 */
export function isRefusal (thrown: unknown): boolean {
  return thrown instanceof RequestError && thrown.verdict === 'not-run' && thrown.message.includes('ECONNREFUSED')
}
