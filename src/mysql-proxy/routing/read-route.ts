/**
 * Serves reads: chooses an upstream by the rules in `where-reads-run.ts`, runs the statement there, and returns the log
 * position that the session has reached.
 */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import type { Client } from '../../mysql/client.ts'
import type { Statement } from '../../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import { laterPosition, meetsFloor, type LogPosition, type SessionFloor } from '../../positions/position.ts'
import { leadershipProvenAt } from '../upstreams/leadership-proof.ts'
import { logEnd } from '../upstreams/status.ts'
import { runAndCommit } from './commit.ts'
import { findReadIndex, resolveFloor } from './session-floor.ts'
import type { HomeReply } from './types.ts'
import { isConnectionLost } from './what-is-repeated.ts'
import { catchUpWaitMs, isEligible, pickReplica, refreshIntervalMs, stickyCandidate } from './where-reads-run.ts'

/** Options of a read. */
export interface ReadOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  group: Group
  kind: Kind
  statement: Statement
  floor: SessionFloor
  /** Whether the floor must first be raised to a read index confirmed by a majority. */
  readIndex: boolean
  deadline: Deadline
  /** Failure domain of this home; replicas in it are preferred. */
  failureDomain: string
  /** Returns a number in [0, 1), for the random choice between replicas. */
  random: () => number
}

/** A read whose floor has been resolved to a log position. */
type ResolvedRead = Omit<ReadOptions, 'floor'> & { floor: LogPosition }

/** The upstream chosen for a read, and the reason for the choice. */
export interface ReadChoice {
  upstream: string
  fromReplica: boolean
  reason: string
}

/** Number of upstreams certain to hold the data that a replica returns: the replica and its primary. */
const UPSTREAMS_WITH_REPLICA_DATA = 2
/** Suggested retry delay for callers after a refusal, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Serves a read.
 *
 * @param options - the read
 * @returns the answer, the upstream that served it and the session's new floor
 * @throws RequestError with verdict `not-run`, because a read has no effect
 */
export async function serveRead (options: ReadOptions): Promise<HomeReply> {
  const { view, deadline } = options
  refreshDataAges(options)
  const sticky = stickyReplica(options)
  if (sticky !== undefined) {
    return await readReplica(options, sticky)
  }
  const resolvedFloor = await resolveFloor(view, options.floor, deadline)
  const floor = options.readIndex ? laterPosition(resolvedFloor, await findReadIndex(view, deadline)) : resolvedFloor
  const resolvedRead = { ...options, floor }
  const choice = await chooseUpstream(resolvedRead)
  return choice.fromReplica
    ? await readReplica(resolvedRead, choice.upstream)
    : await readPrimary(resolvedRead, choice.upstream)
}

/**
 * Chooses an upstream for a read. Waits for a limited time for a replica to become eligible.
 *
 * @param options - the read
 * @returns the chosen upstream and the reason
 */
export async function chooseUpstream (options: ResolvedRead): Promise<ReadChoice> {
  if (options.group.duties.reads !== 'act') {
    return await choosePrimary(options, `duty reads is ${options.group.duties.reads}`)
  }
  const eligible = eligibleReplicas(options)
  if (eligible.length > 0) {
    return { upstream: pickReplicaByLoad(options, eligible), fromReplica: true, reason: 'a replica meets floor and age' }
  }
  const caughtUp = await waitForReplica(options)
  if (caughtUp !== undefined) {
    return { upstream: caughtUp, fromReplica: true, reason: 'a replica caught up' }
  }
  return await choosePrimary(options, 'no replica meets floor and age in time')
}

/** Age of a replica's data, in milliseconds. What the primary showed counts only while its term is proven. */
function dataAgeMs (view: GroupView, replica: string): number {
  return Math.max(view.age.ageMs(replica), performance.now() - leadershipProvenAt(view, view.leadership.term))
}

function eligibleReplicas ({ view, floor, kind }: Pick<ResolvedRead, 'view' | 'floor' | 'kind'>): string[] {
  return view.replicaNames.filter((name) => {
    const state = { isAvailable: view.isAvailable(name), end: view.lastKnownLogEnd(name), ageMs: dataAgeMs(view, name) }
    return isEligible(state, floor, kind.maximumAgeMs)
  })
}

/** Returns the replica that the session last read from if it is eligible and its database hasn't been replaced. */
function stickyReplica ({ view, floor, kind, readIndex, group }: ReadOptions): string | undefined {
  const last = stickyCandidate({ floor, readIndex, replicaReadsEnabled: group.duties.reads === 'act' })
  if (last === undefined) {
    return undefined
  }
  const sameDatabase = view.upstreams.get(last.upstream)?.channel.latest?.status.incarnation === last.incarnation
  return sameDatabase && eligibleReplicas({ view, floor, kind }).includes(last.upstream) ? last.upstream : undefined
}

function pickReplicaByLoad ({ view, pools, failureDomain, random }: ResolvedRead, eligible: string[]): string {
  const loads = eligible.map((name) => {
    const state = pools.get(name)?.state()
    return {
      name,
      isInLocalDomain: view.upstreams.get(name)?.declaration.failureDomain === failureDomain,
      queued: state?.queued ?? 0,
      loadMs: state === undefined ? 0 : (state.running + state.queued + 1) * (state.meanMs || 1)
    }
  })
  return pickReplica(loads, random)
}

async function waitForReplica (options: ResolvedRead): Promise<string | undefined> {
  const { view, floor, kind, group, deadline } = options
  const catchUpDeadline = new Deadline(catchUpWaitMs(group.limits.catchUpMs, deadline.leftMs))
  const candidates = view.replicaNames.filter((name) => view.isAvailable(name))
  const waits = candidates.map(async (name) => {
    const { channel } = view.upstreams.get(name)!
    const reachedStatus = await channel.waitUntil((status) => meetsFloor(logEnd(status), floor), catchUpDeadline)
    const isTooOld = (): boolean => dataAgeMs(view, name) > kind.maximumAgeMs
    if (reachedStatus !== undefined && isTooOld()) {
      await Promise.all([view.usablePrimary?.channel.fetchStatus(), view.queryMajority(catchUpDeadline)])
      const target = view.lastKnownLogEnd(view.leadership.primary)
      await channel.waitUntil((status) => meetsFloor(logEnd(status), target), catchUpDeadline)
    }
    if (reachedStatus === undefined || isTooOld()) {
      throw new Error('replica did not become eligible in time')
    }
    return name
  })
  // Falls back to the primary if no replica becomes eligible in time.
  return await Promise.any(waits).catch(() => undefined)
}

async function choosePrimary ({ view, deadline }: ResolvedRead, reason: string): Promise<ReadChoice> {
  const primary = await view.waitForPrimary(deadline)
  return { upstream: primary.view.declaration.name, fromReplica: false, reason }
}

/** Runs a read on a replica. In groups of more than three upstreams, also waits until a majority holds the data. */
async function readReplica (options: ResolvedRead, upstream: string): Promise<HomeReply> {
  const { view, statement, deadline, floor } = options
  const answer = await runOnUpstream(options, upstream, async (client) => {
    await useManualCommit(client, false, deadline.leftMs)
    return await client.run(statement, deadline.leftMs, 'not-run')
  })
  const { channel } = view.upstreams.get(upstream)!
  const incarnation = channel.latest?.status.incarnation ?? ''
  const reply = { answer, upstream, fromReplica: true }
  if (view.majority <= UPSTREAMS_WITH_REPLICA_DATA) {
    return { ...reply, floor: { ...floor, seenOn: [{ upstream, incarnation }] } }
  }
  const { status } = await deadline.race(channel.fetchStatus(), 'not-run', 'confirming a read')
  return { ...reply, floor: await confirmOnMajority(options, view.leadership.primary, logEnd(status)) }
}

/**
 * Runs a read on the primary, and waits until a majority holds the data, so that a failover can't discard it. Rejects
 * the answer of a primary that may have been superseded for longer than the accepted age.
 */
async function readPrimary (options: ResolvedRead, upstream: string): Promise<HomeReply> {
  const { view, kind, statement, deadline } = options
  const since = performance.now() - kind.maximumAgeMs
  const running = runOnUpstream(options, upstream, async (client) =>
    await runAndCommit(client, statement, undefined, deadline, 'not-run'))
  const [{ answer, status }] = await Promise.all([running, renewLeadershipProof(options, since)])
  if (leadershipProvenAt(view, logEnd(status).term) < since) {
    throw supersededError(view)
  }
  return { answer, upstream, fromReplica: false, floor: await confirmOnMajority(options, upstream, logEnd(status)) }
}

/** Asks a majority whether it accepts the term of the primary, unless that has been proven since a time. */
async function renewLeadershipProof ({ view, deadline }: ResolvedRead, since: number): Promise<void> {
  if (leadershipProvenAt(view, view.leadership.term) < since) {
    await view.queryMajority(deadline)
  }
}

function supersededError ({ name }: GroupView): RequestError {
  return new RequestError('not-run', 'NoUpstream', {
    group: name, reason: 'the primary was superseded, or its replicas do not follow', retryAfterMs: RETRY_AFTER_MS
  })
}

async function confirmOnMajority (
  { view, deadline, floor }: ResolvedRead, source: string, position: LogPosition
): Promise<SessionFloor> {
  if (!meetsFloor(position, floor) || !await view.waitForMajority(position, source, deadline)) {
    throw supersededError(view)
  }
  return { ...laterPosition(position, floor), seenOn: [] }
}

async function runOnUpstream<Result> (
  { view, pools, kind, deadline }: ResolvedRead, upstream: string, work: (client: Client) => Promise<Result>
): Promise<Result> {
  const pool = pools.get(upstream)
  if (pool === undefined) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: view.name, reason: `${upstream} was removed`, retryAfterMs: RETRY_AFTER_MS
    })
  }
  try {
    return await pool.run({ access: 'read', priority: kind.priority, deadline }, work)
  } catch (thrown) {
    if (isConnectionLost(thrown)) {
      view.markUnreachable(upstream, thrown.message)
    }
    throw thrown
  }
}

function refreshDataAges ({ view, kind }: ReadOptions): void {
  if (performance.now() - view.age.newestProbeAt > refreshIntervalMs(kind.maximumAgeMs)) {
    view.refreshInBackground()
  }
}
