/**
 * What this host holds of each upstream that it uses: connections, the queue in front of it, health. Created at the
 * first use; dropped when the upstream is gone, has moved or was started again, since nothing that was seen of it is
 * valid then.
 */
import type { Logger } from '../../core/logger/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamPort } from '../ports/index.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import { createStatementQueue, type StatementQueue } from './statement-queue.ts'
import type { PoolEvents } from './types.ts'
import { createUpstreamHealth, type UpstreamHealth } from './upstream-health.ts'
import { createUpstreamPool, type UpstreamPool } from './upstream-pool.ts'

/** An upstream as this host uses it. */
export interface UpstreamResources {
  pool: UpstreamPool
  /** Lets statements go there a few at a time. */
  queue: StatementQueue
  health: UpstreamHealth
}

/** Options of {@link createUsedUpstreams}. */
interface UsedUpstreamsOptions {
  port: UpstreamPort
  logger: Logger
  /** Connections that this host may have. */
  limitsOf: (upstream: KnownUpstream) => ConnectionLimits
  /** Number of homes that share the upstream. */
  homesOf: (upstream: KnownUpstream) => number
}

/** Upstreams that this host uses. */
interface UsedUpstreams {
  /** Returns what this host holds of an upstream; created when it holds nothing yet. */
  of: (upstream: KnownUpstream) => UpstreamResources
  /** Closes the connections to an upstream and drops what is known of it. */
  forget: (name: string) => void
  /** The upstreams in use, by name. */
  all: ReadonlyMap<string, UpstreamResources>
}

/**
 * Creates the upstreams in use.
 *
 * @param options - the port, and the limits of connections and statements
 * @returns none yet
 */
export function createUsedUpstreams (options: UsedUpstreamsOptions): UsedUpstreams {
  const used = new Map<string, UpstreamResources>()
  return {
    of: (upstream) => {
      const known = used.get(upstream.upstream) ?? createUsedUpstream(upstream, options)
      used.set(upstream.upstream, known)
      return known
    },
    forget: (name) => {
      used.get(name)?.pool.close()
      used.delete(name)
    },
    all: used
  }
}

function createUsedUpstream (
  known: KnownUpstream, { port, logger, limitsOf, homesOf }: UsedUpstreamsOptions
): UpstreamResources {
  const { upstream, group, endpoint } = known
  const health = createUpstreamHealth()
  const pool = createUpstreamPool({
    target: { group, upstream, endpoint },
    port,
    limits: () => limitsOf(known),
    events: logFaults(health, { group, upstream }, logger)
  })
  const queue = createStatementQueue({
    group, upstream, limits: () => ({ slots: known.slots, homes: homesOf(known) })
  })
  return { pool, queue, health }
}

/** Records what a pool reports in the upstream's health, and logs when it is lost and regained. */
function logFaults (health: UpstreamHealth, of: { group: string, upstream: string }, logger: Logger): PoolEvents {
  return {
    onAnswer: () => {
      if (health.unreachableSince !== undefined) {
        logger.log('info', 'upstream.reachable', of)
      }
      health.recordAnswer()
    },
    onFault: (fault, reason) => {
      if (health.unreachableSince === undefined && fault !== 'broken') {
        logger.log('warn', 'upstream.unreachable', { ...of, fault, reason })
      }
      health.recordFailure(fault)
    }
  }
}

/**
 * Describes what this host holds, for the dump of its state.
 *
 * @param all - the upstreams in use
 * @returns the state of each, by name
 */
export function describeUsedUpstreams (all: ReadonlyMap<string, UpstreamResources>): Record<string, object> {
  return Object.fromEntries([...all].map(([name, { pool, queue, health }]) => [name, {
    group: pool.target.group,
    open: pool.size,
    inUse: pool.inUse,
    waiting: pool.waiting,
    running: queue.running,
    queued: queue.waiting,
    latencyMs: Math.round(health.latencyMs),
    avoided: health.avoided,
    lagging: health.lagging
  }]))
}
