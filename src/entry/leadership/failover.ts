/**
 * Makes another upstream the primary of a group: closes the epoch for all hosts, stops the old primary where it can be
 * reached, promotes the replica that has received most, and opens the next epoch when the promotion has taken effect.
 * Each step can be taken over by another host: what has been done is read from the registry and from the upstreams.
 */
import { randomUUID } from 'node:crypto'
import { describeThrown } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Pools } from '../pools/index.ts'
import type { UpstreamReport } from '../ports/index.ts'
import { registryKeys, type GroupRow } from '../registry/index.ts'
import { comparePositions, formatPosition, type LogPosition } from '../../positions/position.ts'
import { awaitClosed } from './close-epoch.ts'
import type { Candidate } from './choose-successor.ts'
import { PROBE_MS, SUCCESSOR_POLL_MS } from './probe-times.ts'
import { promoteOne, type PromoteOptions } from './promote.ts'
import type { FailoverReason } from './types.ts'

/** Time between two renewals of the promotion lease while hosts are waited for, in milliseconds. */
const LEASE_RENEW_MS = 1500
/** Time that a successor has to catch up with a primary that was stopped in order, in milliseconds. */
const CATCH_UP_MS = 1000

/** Options of {@link runFailover}. */
interface FailoverOptions extends PromoteOptions {
  reason: FailoverReason
  /** Epoch whose primary is to be replaced; nothing is done in another one. */
  epoch: number
  /** Since when this host has known that the epoch is closed, on the steady clock; undefined when it is not. */
  closedSince?: number
  /** Stops this host's work at the primary of an epoch. */
  closeHere: (epoch: number) => Promise<void>
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe' | 'demote'>
  peers: Peers
}

/**
 * Runs a failover as far as it gets.
 *
 * @param options - the group and everything needed
 * @returns the new primary; undefined when it must be tried again
 */
export async function runFailover (options: FailoverOptions): Promise<string | undefined> {
  const { group, logger, registry, reason } = options
  const before = registry.current.group(group)
  if (before.row?.epoch !== options.epoch || await options.promotionLease.hold() === undefined) {
    return undefined
  }
  logger.log('warn', 'failover.started', {
    group, reason, primary: before.row.primary, epoch: before.row.epoch, registryVersion: registry.current.version
  })
  const failoverId = randomUUID()
  const closedAt = await closeEpoch(options, before.row, before.version, failoverId)
  if (closedAt === undefined) {
    return undefined
  }
  const { epoch, primary } = before.row
  const old = options.directory.get(primary)
  // A renewal that fails is logged where it fails; the next one or the order notices that the lease is lost.
  const stopRenewing = repeat(LEASE_RENEW_MS, async () => { await options.promotionLease.hold() })
  const closed = Promise.all([options.closeHere(epoch), awaitClosed({ ...options, epoch, closedAt })])
  // A primary that is out of reach is not waited for once no host works there: it answers nothing for a whole probe.
  const isOutOfReach = reason === 'unreachable'
  const stopping = stopOld(options, old)
  const [stopped, reports] = await Promise.all([
    isOutOfReach ? Promise.race([stopping, closed.then(() => undefined)]) : stopping,
    askAll(options, isOutOfReach ? primary : undefined),
    closed
  ]).finally(stopRenewing)
  const caughtUp = stopped === undefined ? reports : await awaitCatchUp(options, stopped.received, primary)
  const successor = await promoteOne(options, caughtUp, { ...before.row, succession: failoverId }, closedAt)
  return successor === undefined ? undefined : await openEpoch(options, successor, failoverId)
}

/**
 * Writes that the epoch is closed; returns when that was certain. A row that is closed already is written again, so
 * that a write of another failover that is still on its way to the store no longer meets its condition.
 */
async function closeEpoch (
  options: FailoverOptions, row: GroupRow, version: number, failoverId: string
): Promise<number | undefined> {
  const { registry, knownTerm, closedSince } = options
  const now = await writeRow(options, version, 'close', {
    ...row, state: 'closed', term: Math.max(row.term, knownTerm), writtenBy: registry.self.name, succession: failoverId
  })
  if (now?.state !== 'closed' || now.succession !== failoverId) {
    return undefined
  }
  return row.state === 'closed' ? closedSince ?? performance.now() : performance.now()
}

/** Writes the row of the group; returns the row after that, whether or not the answer to the write came. */
async function writeRow (
  { group, registry, logger }: FailoverOptions, version: number, step: 'close' | 'open', row: GroupRow
): Promise<GroupRow | undefined> {
  const key = registryKeys.group(group)
  try {
    await registry.write({ expected: [{ key, version }], put: [{ key, value: JSON.stringify(row) }] })
  } catch (thrown) {
    logger.log('warn', 'failover.answer-lost', { group, step, reason: describeThrown(thrown) })
    await registry.refresh()
  }
  return registry.current.group(group).row
}

async function stopOld (
  options: FailoverOptions, old: KnownUpstream | undefined
): Promise<UpstreamReport | undefined> {
  if (old === undefined) {
    return undefined
  }
  const term = Math.max(options.knownTerm, options.registry.current.group(options.group).row?.term ?? 0) + 1
  const report = await options.pools.demote(old, term, PROBE_MS)
  options.logger.log('info', 'failover.old-primary', {
    group: options.group,
    upstream: old.upstream,
    term,
    stopped: report !== undefined,
    role: report?.role,
    position: formatPosition(report?.received)
  })
  return report
}

/** Asks the upstreams of the group for their reports. */
async function askAll ({ group, directory, pools }: FailoverOptions, except?: string): Promise<Candidate[]> {
  const asked = directory.ofGroup(group).filter(({ upstream }) => upstream !== except)
  const answers = await Promise.all(asked.map(async (upstream) => {
    const report = await pools.probe(upstream, PROBE_MS)
    return report === undefined ? [] : [{ upstream, report }]
  }))
  return answers.flat()
}

/** Lets a successor receive what the stopped primary had, for a bounded time. */
async function awaitCatchUp (
  options: FailoverOptions, goal: LogPosition, oldPrimary: string
): Promise<Candidate[]> {
  const until = performance.now() + CATCH_UP_MS
  for (;;) {
    const reports = await askAll(options)
    const ready = reports.some(({ upstream, report }) =>
      upstream.upstream !== oldPrimary && !upstream.draining && comparePositions(report.received, goal) >= 0)
    if (ready || performance.now() >= until) {
      return reports
    }
    await pause(SUCCESSOR_POLL_MS)
  }
}

async function openEpoch (
  options: FailoverOptions, { upstream, report }: Candidate, failoverId: string
): Promise<string | undefined> {
  const { group, registry, logger } = options
  await registry.refresh()
  const { row, version } = registry.current.group(group)
  if (row?.succession !== failoverId) {
    return undefined
  }
  const now = await writeRow(options, version, 'open', {
    epoch: row.epoch + 1,
    primary: upstream.upstream,
    primaryBornAt: upstream.bornAt,
    state: 'open',
    term: report.term,
    writtenBy: registry.self.name,
    succession: ''
  })
  registry.requestPeerRefresh()
  logger.log('info', 'failover.done', { group, upstream: now?.primary, epoch: now?.epoch, term: now?.term })
  return now?.state === 'open' ? now.primary : undefined
}
