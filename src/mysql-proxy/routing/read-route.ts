/**
 * Serves reads: chooses an upstream by the rule in `where-reads-run.ts`, runs the statement there, and returns what the
 * session has now seen. Relies on the group's view for statuses and on the pools for connections.
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
import { logEnd } from '../upstreams/status.ts'
import { runAndCommit } from './commit.ts'
import { findReadIndex, resolveFloor } from './session-floor.ts'
import type { HomeReply } from './types.ts'
import { isConnectionLost } from './what-is-repeated.ts'
import { catchUpWaitMs, isFit, pickReplica, refreshIntervalMs, stickyCandidate } from './where-reads-run.ts'

/** What a read needs. */
export interface ReadOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  group: Group
  kind: Kind
  statement: Statement
  floor: SessionFloor
  /** Whether a majority must be asked for the floor first. */
  readIndex: boolean
  deadline: Deadline
  /** Failure domain of this home; replicas there are preferred. */
  failureDomain: string
  /** Returns a number from 0 up to 1, for the choice between replicas. */
  random: () => number
}

/** A read whose floor is a place in the log. */
type PlacedRead = Omit<ReadOptions, 'floor'> & { floor: LogPosition }

/** The upstream chosen for a read, and why. */
export interface ReadChoice {
  upstream: string
  fromReplica: boolean
  reason: string
}

/** Upstreams that hold what a replica shows: itself and its primary. */
const HOLDERS_OF_REPLICA_DATA = 2
/** Time after which a caller should come back after a refusal, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Serves a read.
 *
 * @param options - the read
 * @returns answer, upstream and what the session has now seen
 * @throws RequestError with verdict `not-run`; a read changes nothing
 */
export async function serveRead (options: ReadOptions): Promise<HomeReply> {
  const { view, deadline } = options
  refreshAges(options)
  const sticky = stickyReplica(options)
  if (sticky !== undefined) {
    return await readReplica(options, sticky)
  }
  const resolved = await resolveFloor(view, options.floor, deadline)
  const floor = options.readIndex ? laterPosition(resolved, await findReadIndex(view, deadline)) : resolved
  const placed = { ...options, floor }
  const choice = await chooseUpstream(placed)
  return choice.fromReplica ? await readReplica(placed, choice.upstream) : await readPrimary(placed, choice.upstream)
}

/**
 * Chooses an upstream for a read, waiting a bounded time for a replica to become fit.
 *
 * @param options - the read
 * @returns the choice
 */
export async function chooseUpstream (options: PlacedRead): Promise<ReadChoice> {
  if (options.group.duties.reads !== 'act') {
    return await choosePrimary(options, `duty reads is ${options.group.duties.reads}`)
  }
  const fit = fitReplicas(options)
  if (fit.length > 0) {
    return { upstream: pickByLoad(options, fit), fromReplica: true, reason: 'a replica meets floor and age' }
  }
  const caughtUp = await waitForReplica(options)
  if (caughtUp !== undefined) {
    return { upstream: caughtUp, fromReplica: true, reason: 'a replica caught up' }
  }
  return await choosePrimary(options, 'no replica meets floor and age in time')
}

function fitReplicas ({ view, floor, kind }: Pick<PlacedRead, 'view' | 'floor' | 'kind'>): string[] {
  return view.replicaNames.filter((name) => {
    const state = { takesWork: view.isAvailable(name), end: view.lastKnownLogEnd(name), ageMs: view.age.ageMs(name) }
    return isFit(state, floor, kind.maximumAgeMs)
  })
}

/** The replica a session read from last, when it is still the same database and fit: it covers what was seen there. */
function stickyReplica ({ view, floor, kind, readIndex, group }: ReadOptions): string | undefined {
  const seen = stickyCandidate({ floor, readIndex, dutyActs: group.duties.reads === 'act' })
  if (seen === undefined) {
    return undefined
  }
  const sameDatabase = view.upstreams.get(seen.upstream)?.channel.latest?.status.incarnation === seen.incarnation
  return sameDatabase && fitReplicas({ view, floor, kind }).includes(seen.upstream) ? seen.upstream : undefined
}

function pickByLoad ({ view, pools, failureDomain, random }: PlacedRead, fit: string[]): string {
  const loads = fit.map((name) => {
    const state = pools.get(name)?.state()
    return {
      name,
      isNear: view.upstreams.get(name)?.declaration.failureDomain === failureDomain,
      queued: state?.queued ?? 0,
      loadMs: state === undefined ? 0 : (state.running + state.queued + 1) * (state.meanMs || 1)
    }
  })
  return pickReplica(loads, random)
}

async function waitForReplica (options: PlacedRead): Promise<string | undefined> {
  const { view, floor, kind, group, deadline } = options
  const patience = new Deadline(catchUpWaitMs(group.limits.catchUpMs, deadline.leftMs))
  const candidates = view.replicaNames.filter((name) => view.isAvailable(name))
  const waits = candidates.map(async (name) => {
    const { channel } = view.upstreams.get(name)!
    const reached = await channel.waitUntil((status) => meetsFloor(logEnd(status), floor), patience)
    const tooOld = (): boolean => view.age.ageMs(name) > kind.maximumAgeMs
    if (reached !== undefined && tooOld()) {
      await view.usablePrimary?.channel.fetchStatus()
      const target = view.lastKnownLogEnd(view.leadership.primary)
      await channel.waitUntil((status) => meetsFloor(logEnd(status), target), patience)
    }
    if (reached === undefined || tooOld()) {
      throw new Error('not fit in time')
    }
    return name
  })
  // No replica became fit in time, or none answered: the read goes to the primary.
  return await Promise.any(waits).catch(() => undefined)
}

async function choosePrimary ({ view, deadline }: PlacedRead, reason: string): Promise<ReadChoice> {
  const primary = await view.waitForPrimary(deadline)
  return { upstream: primary.view.declaration.name, fromReplica: false, reason }
}

/** What a replica shows is on its primary too; with more than three upstreams that is no majority yet. */
async function readReplica (options: PlacedRead, upstream: string): Promise<HomeReply> {
  const { view, statement, deadline, floor } = options
  const answer = await onUpstream(options, upstream, async (client) => {
    await useManualCommit(client, false, deadline.leftMs)
    return await client.run(statement, deadline.leftMs, 'not-run')
  })
  const { channel } = view.upstreams.get(upstream)!
  const incarnation = channel.latest?.status.incarnation ?? ''
  const reply = { answer, upstream, fromReplica: true }
  if (view.majority <= HOLDERS_OF_REPLICA_DATA) {
    return { ...reply, floor: { ...floor, seenOn: [{ upstream, incarnation }] } }
  }
  const { status } = await deadline.race(channel.fetchStatus(), 'not-run', 'confirming a read')
  return { ...reply, floor: await confirm(options, view.leadership.primary, logEnd(status)) }
}

/** What a primary shows may be on no majority yet, and a failover would take it back. */
async function readPrimary (options: PlacedRead, upstream: string): Promise<HomeReply> {
  const { statement, deadline } = options
  const { answer, status } = await onUpstream(options, upstream, async (client) =>
    await runAndCommit(client, statement, undefined, deadline, 'not-run'))
  return { answer, upstream, fromReplica: false, floor: await confirm(options, upstream, logEnd(status)) }
}

async function confirm (
  { view, deadline, floor }: PlacedRead, source: string, seen: LogPosition
): Promise<SessionFloor> {
  if (!meetsFloor(seen, floor) || !await view.waitForMajority(seen, source, deadline)) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: view.name,
      reason: 'the primary was superseded, or its replicas do not follow',
      retryAfterMs: RETRY_AFTER_MS
    })
  }
  return { ...laterPosition(seen, floor), seenOn: [] }
}

async function onUpstream<Result> (
  { view, pools, kind, deadline }: PlacedRead, upstream: string, work: (client: Client) => Promise<Result>
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

function refreshAges ({ view, kind }: ReadOptions): void {
  if (performance.now() - view.age.newestProbeAt > refreshIntervalMs(kind.maximumAgeMs)) {
    view.refreshInBackground()
  }
}
