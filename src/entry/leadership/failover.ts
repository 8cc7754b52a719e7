/**
 * Runs a failover: closes the epoch on all hosts, demotes the old primary if it can be reached, promotes a successor,
 * and opens the next epoch once the promotion has taken effect. Another host can resume at any step, because all
 * progress is read from the registry and the upstreams.
 */
import { randomUUID } from 'node:crypto'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { UpstreamReport } from '../ports/index.ts'
import type { GroupRow } from '../registry/index.ts'
import { comparePositions, formatPosition, type LogPosition } from '../../positions/position.ts'
import { awaitLogs, type Successors } from './await-logs.ts'
import { awaitHostsStopped } from './close-epoch.ts'
import type { Candidate } from './choose-successor.ts'
import { finishFailover } from './finish-failover.ts'
import type { FormerUpstreams } from './former-upstreams.ts'
import { openEpoch, writeRow } from './group-row.ts'
import type { PromoteOptions } from './order-promotion.ts'
import { pendingOrders } from './pending-orders.ts'
import { probeGroup } from './probe-group.ts'
import { PROBE_TIMEOUT_MS, SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'
import { promoteSuccessor } from './promote.ts'
import type { FailoverReason } from './types.ts'

/** Interval at which the promotion lease is renewed during a failover, in milliseconds. */
const LEASE_RENEWAL_INTERVAL_MS = 1500
/** Time for a successor to catch up with a demoted primary, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1000

/** Options of {@link runFailover}. */
interface FailoverOptions extends PromoteOptions {
  reason: FailoverReason
  /** Epoch whose primary is to be replaced; the failover does nothing if another epoch is current. */
  epoch: number
  /** When this host first saw that the epoch is closed, on the monotonic clock; undefined if it is open. */
  closedSince?: number
  /** Stops the work of this host at the primary of an epoch. */
  closeLocally: (epoch: number) => Promise<void>
  peers: Peers
  /** Replicas that must have received a commit before it is acknowledged; 0 if it may be in the primary's log only. */
  synchronousReplicas: number
  /** Upstreams that have left recently. */
  former: FormerUpstreams
}

/**
 * Runs a failover until it completes or a step fails.
 *
 * @param options - the group and the services
 * @returns the new primary, or undefined if the failover did not complete
 */
export async function runFailover (options: FailoverOptions): Promise<string | undefined> {
  const { group, logger, registry, reason } = options
  const before = registry.current.group(group)
  if (before.row?.epoch !== options.epoch) {
    return undefined
  }
  if (await options.promotionLease.acquire() === undefined) {
    return reason === 'unfinished' ? await finishFailover(options) : undefined
  }
  logger.log('warn', 'failover.started', {
    group, reason, primary: before.row.primary, epoch: before.row.epoch, registryVersion: registry.current.version
  })
  const failoverId = randomUUID()
  const closedAt = await closeEpoch(options, before.row, before.version, failoverId)
  if (closedAt === undefined) {
    return undefined
  }
  // A failed renewal is logged by the lease; the next renewal or the order detects that the lease is lost.
  const stopRenewing = repeat(LEASE_RENEWAL_INTERVAL_MS, async () => { await options.promotionLease.acquire() })
  try {
    const successors = await awaitOldPrimaryUnused(options, before.row, closedAt)
    const closed = { ...before.row, succession: failoverId }
    const successor = await promoteSuccessor(options, successors, closed, closedAt)
    return successor === undefined ? undefined : await openEpoch(options, successor, failoverId)
  } finally {
    stopRenewing()
  }
}

/** Waits until no host uses the old primary, which is demoted if it can be reached, and returns who may lead next. */
async function awaitOldPrimaryUnused (
  options: FailoverOptions, row: GroupRow, closedAt: number
): Promise<Successors> {
  const { epoch, primary } = row
  const isSynchronous = options.synchronousReplicas > 0
  const closed = Promise.all([options.closeLocally(epoch), awaitHostsStopped({ ...options, epoch, closedAt })])
  // Once no host uses an unreachable primary, its demotion is not waited for: the probe would only time out.
  const isUnreachable = options.reason === 'unreachable'
  const demotion = demoteOldPrimary(options, options.directory.get(primary))
  const [demoted, reports] = await Promise.all([
    isUnreachable ? Promise.race([demotion, closed.then(() => undefined)]) : demotion,
    isSynchronous ? [] : probeGroup(options, isUnreachable ? primary : undefined),
    closed
  ])
  if (isSynchronous) {
    return await awaitLogs({ ...options, row, demoted, catchUpMs: CATCH_UP_TIMEOUT_MS })
  }
  return { candidates: demoted === undefined ? reports : await awaitCatchUp(options, demoted.received, primary) }
}

/**
 * Closes the epoch in the registry and returns when that was certain. A row that is already closed is written again, so
 * that a pending write of another failover fails its version check.
 */
async function closeEpoch (
  options: FailoverOptions, row: GroupRow, version: number, failoverId: string
): Promise<number | undefined> {
  const { registry, knownTerm, closedSince } = options
  // What was ordered before the epoch was opened matters only while it may still take effect.
  const orders = row.state === 'open' ? pendingOrders(row.orders, registry.storeNowAtLeastMs()) : row.orders
  const term = Math.max(row.term, knownTerm)
  const written = await writeRow(options, version, 'close', {
    ...row, state: 'closed', term, writtenBy: registry.self.name, succession: failoverId, orders
  })
  if (written?.state !== 'closed' || written.succession !== failoverId) {
    return undefined
  }
  return row.state === 'closed' ? closedSince ?? performance.now() : performance.now()
}

async function demoteOldPrimary (
  options: FailoverOptions, oldPrimary: KnownUpstream | undefined
): Promise<UpstreamReport | undefined> {
  if (oldPrimary === undefined) {
    return undefined
  }
  const term = Math.max(options.knownTerm, options.registry.current.group(options.group).row?.term ?? 0) + 1
  const report = await options.pools.demote(oldPrimary, term, PROBE_TIMEOUT_MS)
  options.logger.log('info', 'failover.old-primary', {
    group: options.group,
    upstream: oldPrimary.upstream,
    term,
    stopped: report !== undefined,
    role: report?.role,
    position: formatPosition(report?.received)
  })
  return report
}

/** Waits for a replica to receive the whole log of the demoted primary, up to {@link CATCH_UP_TIMEOUT_MS}. */
async function awaitCatchUp (
  options: FailoverOptions, target: LogPosition, oldPrimary: string
): Promise<Candidate[]> {
  const until = performance.now() + CATCH_UP_TIMEOUT_MS
  for (;;) {
    const reports = await probeGroup(options)
    const ready = reports.some(({ upstream, report }) =>
      upstream.upstream !== oldPrimary && !upstream.draining && comparePositions(report.received, target) >= 0)
    if (ready || performance.now() >= until) {
      return reports
    }
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
}
