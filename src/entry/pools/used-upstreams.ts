/**
 * Pool, statement queue and health of each upstream that this host uses. They are created at the first use and dropped
 * when the upstream is gone, has moved or was restarted, since observations of it are no longer valid.
 */
import type { Logger } from '../../core/logger/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamPort } from '../ports/index.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import { createStatementQueue, type StatementQueue } from './statement-queue.ts'
import type { CloseReason, PoolEvents } from './types.ts'
import { OutlierDetector, type OutlierReport } from './outlier-detection.ts'
import { createUpstreamHealth, type UpstreamHealth } from './upstream-health.ts'
import { createUpstreamPool, type UpstreamPool } from './upstream-pool.ts'

/** Pool, statement queue and health of one upstream. */
export interface UpstreamResources {
  pool: UpstreamPool
  /** Limits the statements in progress at the upstream. */
  queue: StatementQueue
  health: UpstreamHealth
}

/** Options of {@link createUsedUpstreams}. */
interface UsedUpstreamsOptions {
  port: UpstreamPort
  logger: Logger
  /** Returns the connection limits of this host. */
  limitsOf: (upstream: KnownUpstream) => ConnectionLimits
  /** Returns the number of homes that share the upstream. */
  homeCountOf: (upstream: KnownUpstream) => number
  /** Counts connections that were opened or closed. */
  metrics: ConnectionMetrics
}

/** Counters of the connections to all upstreams. */
interface ConnectionMetrics {
  opened: () => void
  closed: (reason: CloseReason) => void
}

/** Registry of the upstreams in use. */
interface UsedUpstreams {
  /** Returns the resources of an upstream, created at the first call. */
  of: (upstream: KnownUpstream) => UpstreamResources
  /**
   * Compares the upstreams of a group with each other.
   *
   * @param group - the group
   * @param upstreams - all of its upstreams
   * @returns names of those that a read should avoid
   */
  outliersOf: (group: string, upstreams: readonly KnownUpstream[]) => ReadonlySet<string>
  /** Closes the pool of an upstream and drops its resources. */
  remove: (name: string) => void
  /** Resources of all upstreams in use, by name. */
  all: ReadonlyMap<string, UpstreamResources>
}

/**
 * Creates the registry of the upstreams in use.
 *
 * @param options - the port, the logger and the limits
 * @returns an empty registry
 */
export function createUsedUpstreams (options: UsedUpstreamsOptions): UsedUpstreams {
  const used = new Map<string, UpstreamResources>()
  const detectors = new Map<string, OutlierDetector>()
  const of = (upstream: KnownUpstream): UpstreamResources => {
    const resources = used.get(upstream.upstream) ?? createUpstreamResources(upstream, options)
    used.set(upstream.upstream, resources)
    return resources
  }
  return {
    of,
    outliersOf: (group, upstreams) => {
      let detector = detectors.get(group)
      if (detector === undefined) {
        detector = new OutlierDetector((report) => logOutlier(options.logger, group, report))
        detectors.set(group, detector)
      }
      return detector.avoidedBy(upstreams.map((known) =>
        ({ upstream: known.upstream, outcomes: of(known).health.outcomes })))
    },
    remove: (name) => {
      detectors.forEach((detector) => detector.forget(name))
      used.get(name)?.pool.close()
      used.delete(name)
    },
    all: used
  }
}

function createUpstreamResources (
  known: KnownUpstream, { port, logger, limitsOf, homeCountOf, metrics }: UsedUpstreamsOptions
): UpstreamResources {
  const { upstream, group, endpoint } = known
  const health = createUpstreamHealth()
  const pool = createUpstreamPool({
    target: { group, upstream, endpoint },
    port,
    limits: () => limitsOf(known),
    events: createPoolEvents(health, { group, upstream }, logger, metrics)
  })
  const queue = createStatementQueue({
    group, upstream, limits: () => ({ slots: known.slots, homes: homeCountOf(known) })
  })
  return { pool, queue, health }
}

/** Logs that the judgement of an upstream has changed. */
function logOutlier (
  logger: Logger, group: string,
  { upstream, avoided, slowness, failedPart, siblingsSlowness, siblingsFailedPart }: OutlierReport
): void {
  logger.log('info', 'upstream.avoided', {
    group,
    upstream,
    avoided,
    slowness: slowness.toFixed(2),
    failedPart: failedPart.toFixed(2),
    siblingsSlowness: siblingsSlowness.toFixed(2),
    siblingsFailedPart: siblingsFailedPart.toFixed(2)
  })
}

/** Records a pool's events in its upstream's health, and logs when the upstream becomes unreachable or reachable. */
function createPoolEvents (
  health: UpstreamHealth, fields: { group: string, upstream: string }, logger: Logger, metrics: ConnectionMetrics
): PoolEvents {
  return {
    onAnswer: () => {
      if (health.unreachableSince !== undefined) {
        logger.log('info', 'upstream.reachable', fields)
      }
      health.recordAnswer()
    },
    onFault: (fault, reason) => {
      if (health.unreachableSince === undefined && fault !== 'broken') {
        logger.log('warn', 'upstream.unreachable', { ...fields, fault, reason })
      }
      health.recordFailure(fault)
    },
    onOpened: metrics.opened,
    onClosed: metrics.closed,
    onContended: (contention) => logger.log('info', 'pool.contended', { ...fields, ...contention })
  }
}

/**
 * Describes the upstreams in use, for the state dump.
 *
 * @param all - resources of the upstreams in use, by name
 * @returns the state of each upstream, by name
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
