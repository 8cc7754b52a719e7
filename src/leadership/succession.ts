/**
 * Makes another upstream the primary of a group: closes the epoch for all hosts, stops the old primary where it can be
 * reached, promotes the replica that has received most, and opens the next epoch when the promotion has taken effect.
 * Each step can be taken over by another host: what has been done is read from the registry and from the upstreams.
 */
import { randomUUID } from 'node:crypto'
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { pause } from '../core/time/deadline.ts'
import { repeat } from '../core/time/repeat.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Peers } from '../peers/index.ts'
import type { Pools } from '../pools/index.ts'
import type { PromotionPort, UpstreamReport } from '../ports/index.ts'
import { registryKeys, type GroupRow, type Registry } from '../registry/index.ts'
import { comparePositions, formatPosition, type LogPosition } from '../upstreams/position.ts'
import { awaitClosed } from './closing.ts'
import { CATCH_UP_MS, DUTY_RENEW_MS, ORDER_TRIES, OUTDATED_WAIT_MS, PROBE_MS, SUCCESSOR_POLL_MS, TAKE_EFFECT_MS } from './consts.ts'
import type { HeldDuty } from './duty.ts'
import type { SuccessionReason } from './types.ts'

/** Options of {@link runSuccession}. */
export interface SuccessionOptions {
  group: string
  reason: SuccessionReason
  /** Epoch whose primary is to be replaced; nothing is done in another one. */
  epoch: number
  /** Newest term of the group that this host knows. */
  knownTerm: number
  /** Since when this host has known that the epoch is closed, on the steady clock; undefined when it is not. */
  closedSince?: number
  duty: () => Promise<HeldDuty | undefined>
  closeHere: (epoch: number) => Promise<void>
  registry: Registry
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe' | 'demote'>
  peers: Peers
  promotion: PromotionPort
  logger: Logger
}

/** An upstream and what it said of itself. */
export interface Candidate {
  upstream: KnownUpstream
  report: UpstreamReport
}

/**
 * Runs a succession as far as it gets.
 *
 * @param options - the group and everything needed
 * @returns the new primary; undefined when it must be tried again
 */
export async function runSuccession (options: SuccessionOptions): Promise<string | undefined> {
  const { group, logger, registry, reason } = options
  const before = registry.current.group(group)
  if (before.row?.epoch !== options.epoch || await options.duty() === undefined) {
    return undefined
  }
  logger.log('warn', 'succession.started', {
    group, reason, primary: before.row.primary, epoch: before.row.epoch, registryVersion: registry.current.version
  })
  const succession = randomUUID()
  const closedAt = await closeEpoch(options, before.row, before.version, succession)
  if (closedAt === undefined) {
    return undefined
  }
  const { epoch, primary } = before.row
  const old = options.directory.get(primary)
  const stopRenewing = repeat(DUTY_RENEW_MS, async () => { await options.duty() })
  const [stopped, reports] = await Promise.all([
    stopOld(options, old),
    askAll(options),
    options.closeHere(epoch),
    awaitClosed({ ...options, epoch, closedAt })
  ]).finally(stopRenewing)
  const caughtUp = stopped === undefined ? reports : await awaitCatchUp(options, stopped.received, primary)
  const successor = await promoteOne(options, caughtUp, { ...before.row, succession }, closedAt)
  return successor === undefined ? undefined : await openEpoch(options, successor, succession)
}

/**
 * Writes that the epoch is closed; returns when that was certain. A row that is closed already is written again, so
 * that whatever another succession has sent to the store and not heard of cannot be carried out any more.
 */
async function closeEpoch (
  options: SuccessionOptions, row: GroupRow, version: number, succession: string
): Promise<number | undefined> {
  const { registry, knownTerm, closedSince } = options
  const now = await writeRow(options, version, 'close', {
    ...row, state: 'closed', term: Math.max(row.term, knownTerm), writtenBy: registry.self.name, succession
  })
  if (now?.state !== 'closed' || now.succession !== succession) {
    return undefined
  }
  return row.state === 'closed' ? closedSince ?? performance.now() : performance.now()
}

/** Writes the row of the group; returns the row as it then stands, whether or not the answer to the write came. */
async function writeRow (
  { group, registry, logger }: SuccessionOptions, version: number, step: 'close' | 'open', row: GroupRow
): Promise<GroupRow | undefined> {
  const key = registryKeys.group(group)
  try {
    await registry.write({ expected: [{ key, version }], put: [{ key, value: JSON.stringify(row) }] })
  } catch (thrown) {
    logger.log('warn', 'succession.answer-lost', { group, step, reason: describeThrown(thrown) })
    await registry.refresh()
  }
  return registry.current.group(group).row
}

async function stopOld (
  options: SuccessionOptions, old: KnownUpstream | undefined
): Promise<UpstreamReport | undefined> {
  if (old === undefined) {
    return undefined
  }
  const term = Math.max(options.knownTerm, options.registry.current.group(options.group).row?.term ?? 0) + 1
  const report = await options.pools.demote(old, term, PROBE_MS)
  options.logger.log('info', 'succession.old-primary', {
    group: options.group,
    upstream: old.upstream,
    term,
    stopped: report !== undefined,
    role: report?.role,
    position: formatPosition(report?.received)
  })
  return report
}

/** Asks every upstream of the group what it is. */
async function askAll ({ group, directory, pools }: SuccessionOptions): Promise<Candidate[]> {
  const answers = await Promise.all(directory.ofGroup(group).map(async (upstream) => {
    const report = await pools.probe(upstream, PROBE_MS)
    return report === undefined ? [] : [{ upstream, report }]
  }))
  return answers.flat()
}

/** Lets a successor receive what the stopped primary had, for a bounded time. */
async function awaitCatchUp (
  options: SuccessionOptions, goal: LogPosition, oldPrimary: string
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

/** Orders candidates: those that stay before those that leave, the furthest first. */
function rank (candidates: Candidate[], oldPrimary: string): Candidate[] {
  const weight = ({ upstream }: Candidate): number =>
    (upstream.draining ? 2 : 0) + (upstream.upstream === oldPrimary ? 1 : 0)
  return [...candidates].sort((left, right) => weight(left) - weight(right) ||
    comparePositions(right.report.received, left.report.received) ||
    (left.upstream.upstream < right.upstream.upstream ? -1 : 1))
}

/**
 * Finds the upstream that leads already, because a promotion took effect that nobody saw. Several may say that they
 * lead, when more than one promotion was ordered: only the one of the newest term does.
 *
 * @param candidates - upstreams and what they said of themselves
 * @param closedTerm - newest term of the epoch that was closed
 * @returns the leader; undefined when there is none
 */
export function findLeader (candidates: Candidate[], closedTerm: number): Candidate | undefined {
  return candidates
    .filter(({ report }) => report.role === 'primary' && report.term > closedTerm)
    .sort((left, right) => right.report.term - left.report.term)[0]
}

async function promoteOne (
  options: SuccessionOptions, candidates: Candidate[], closed: GroupRow, closedAt: number
): Promise<Candidate | undefined> {
  const { group, logger, registry, knownTerm } = options
  const oldPrimary = closed.primary
  const closedTerm = Math.max(knownTerm, registry.current.group(group).row?.term ?? 0)
  const led = findLeader(candidates.filter(({ upstream }) => upstream.upstream !== oldPrimary), closedTerm)
  if (led !== undefined) {
    logger.log('info', 'succession.already-promoted', { group, upstream: led.upstream.upstream, term: led.report.term })
    return led
  }
  // Who has not heard of the closed term lacks all that was written in it; others may come back meanwhile.
  const mayBeOutdated = performance.now() - closedAt >= OUTDATED_WAIT_MS
  const fit = candidates.filter(({ report }) => mayBeOutdated || report.term >= closedTerm)
  for (const candidate of rank(fit, oldPrimary)) {
    const promoted = await promote(options, candidate, closed.succession)
    if (promoted !== undefined) {
      return promoted
    }
  }
  logger.log('warn', 'succession.no-successor', { group, candidates: candidates.length, fit: fit.length })
  return undefined
}

/** What became of an order to promote. */
type OrderOutcome = 'accepted' | 'not-running' | 'not-ordered' | 'answer-lost'

/** Orders a promotion, once more when the answer is lost: the order is idempotent. */
async function promote (
  options: SuccessionOptions, candidate: Candidate, succession: string
): Promise<Candidate | undefined> {
  for (let tries = 1; tries <= ORDER_TRIES; tries++) {
    const outcome = await orderPromotion(options, candidate, succession)
    if (outcome === 'not-running' || (outcome === 'not-ordered' && tries === 1)) {
      return undefined
    }
    if (outcome !== 'answer-lost') {
      break
    }
  }
  return await awaitEffect(options, candidate.upstream)
}

async function orderPromotion (
  options: SuccessionOptions, { upstream, report }: Candidate, succession: string
): Promise<OrderOutcome> {
  const { group, logger, promotion, registry } = options
  const duty = await options.duty()
  const { row } = registry.current.group(group)
  if (duty === undefined || !duty.mayOrder() || row?.succession !== succession) {
    return 'not-ordered'
  }
  const name = upstream.upstream
  logger.log('info', 'succession.promoting', {
    group, upstream: name, fence: duty.fence, position: formatPosition(report.received)
  })
  try {
    const outcome = await promotion.promote({ group, upstream: name, holder: registry.self.name, fence: duty.fence })
    if (outcome === 'not-running') {
      logger.log('warn', 'succession.not-running', { group, upstream: name })
    }
    return outcome
  } catch (thrown) {
    // It may have been taken; the upstream itself will tell.
    logger.log('warn', 'succession.answer-lost', { group, step: 'promote', reason: describeThrown(thrown) })
    return 'answer-lost'
  }
}

async function awaitEffect (options: SuccessionOptions, upstream: KnownUpstream): Promise<Candidate | undefined> {
  const until = performance.now() + TAKE_EFFECT_MS
  while (performance.now() < until) {
    const report = await options.pools.probe(upstream, PROBE_MS)
    if (report?.role === 'primary') {
      return { upstream, report }
    }
    await pause(SUCCESSOR_POLL_MS)
  }
  options.logger.log('warn', 'succession.no-effect', { group: options.group, upstream: upstream.upstream })
  return undefined
}

async function openEpoch (
  options: SuccessionOptions, { upstream, report }: Candidate, succession: string
): Promise<string | undefined> {
  const { group, registry, logger } = options
  await registry.refresh()
  const { row, version } = registry.current.group(group)
  if (row?.succession !== succession) {
    return undefined
  }
  const now = await writeRow(options, version, 'open', {
    epoch: row.epoch + 1,
    primary: upstream.upstream,
    state: 'open',
    term: report.term,
    writtenBy: registry.self.name,
    succession: ''
  })
  registry.nudgePeers()
  logger.log('info', 'succession.done', { group, upstream: now?.primary, epoch: now?.epoch, term: now?.term })
  return now?.state === 'open' ? now.primary : undefined
}
