/**
 * Reads. A read honours the floor of its session whatever age its kind accepts; it goes to a replica that is known to
 * be fit, waits a bounded time for one to become fit, and otherwise takes the primary.
 */
import type { Group, Kind } from '../core/config/index.ts'
import { RequestError } from '../core/errors/index.ts'
import { Deadline } from '../core/time/deadline.ts'
import type { Answer, Statement } from '../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { comparePositions, laterPosition, LOG_START, meetsFloor, type LogPosition } from '../upstreams/position.ts'
import type { ObservedStatus } from '../upstreams/status-channel.ts'
import { logEnd } from '../upstreams/status.ts'
import type { HomeReply } from './types.ts'

/** What a read needs. */
export interface ReadOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  group: Group
  kind: Kind
  statement: Statement
  floor: LogPosition
  /** Whether a majority must be asked for the floor first. */
  readIndex: boolean
  deadline: Deadline
  /** Failure domain of this home; replicas there are preferred. */
  failureDomain: string
  /** Returns a number from 0 up to 1, for the choice between replicas. */
  random: () => number
}

/** The upstream chosen for a read, and why. */
export interface ReadChoice {
  upstream: string
  fromReplica: boolean
  reason: string
}

/** Part of the accepted age after which ages are measured anew. */
const REFRESH_SHARE = 4
const SHORTEST_REFRESH_MS = 20
const LONGEST_REFRESH_MS = 250

/**
 * Serves a read.
 *
 * @param options - the read
 * @returns answer, upstream and what the session has now seen
 * @throws RequestError with verdict `not-run`; a read changes nothing
 */
export async function serveRead (options: ReadOptions): Promise<HomeReply> {
  const { view, deadline } = options
  const floor = options.readIndex
    ? laterPosition(options.floor, await findReadIndex(view, deadline))
    : options.floor
  refreshAges(options)
  const choice = await chooseUpstream({ ...options, floor })
  const answer = await runRead(options, choice)
  const seen = await confirmRead(options, choice, floor)
  return { answer, floor: seen, upstream: choice.upstream, fromReplica: choice.fromReplica }
}

/**
 * Finds a place in the log that is at or after every write acknowledged so far. Every acknowledged write is on a
 * majority, which shares an upstream with any majority that answers; so the latest end among the majority that is
 * least far is enough.
 *
 * @param view - the group
 * @param deadline - when to give up
 * @returns the place
 */
export async function findReadIndex (view: GroupView, deadline: Deadline): Promise<LogPosition> {
  const answers = await view.askMajority(deadline)
  return lowestMajorityEnd(answers, view.majority)
}

/**
 * Chooses an upstream for a read, waiting a bounded time for a replica to become fit.
 *
 * @param options - the read, its floor settled
 * @returns the choice
 */
export async function chooseUpstream (options: ReadOptions): Promise<ReadChoice> {
  if (options.group.duties.reads !== 'act') {
    return await choosePrimary(options, `duty reads is ${options.group.duties.reads}`)
  }
  const fit = fitReplicas(options)
  if (fit.length > 0) {
    return { upstream: pickReplica(options, fit), fromReplica: true, reason: 'a replica meets floor and age' }
  }
  const caughtUp = await waitForReplica(options)
  if (caughtUp !== undefined) {
    return { upstream: caughtUp, fromReplica: true, reason: 'a replica caught up' }
  }
  return await choosePrimary(options, 'no replica meets floor and age in time')
}

/**
 * Lists the replicas that may serve a read now.
 *
 * @param options - the read
 * @returns their names
 */
export function fitReplicas ({ view, floor, kind }: Pick<ReadOptions, 'view' | 'floor' | 'kind'>): string[] {
  return view.replicaNames.filter((name) =>
    view.takesWork(name) && meetsFloor(view.knownEnd(name), floor) && view.age.ageMs(name) <= kind.maximumAgeMs)
}

function lowestMajorityEnd (answers: ObservedStatus[], majority: number): LogPosition {
  const ends = answers.map(({ status }) => logEnd(status)).sort(comparePositions)
  return ends[majority - 1] ?? LOG_START
}

/** Two random choices by queue and latency, in the home's own failure domain first. */
function pickReplica ({ view, pools, failureDomain, random }: ReadOptions, fit: string[]): string {
  const near = fit.filter((name) => view.upstreams.get(name)?.declaration.failureDomain === failureDomain)
  const loadOf = (name: string): number => {
    const state = pools.get(name)?.state()
    return state === undefined ? 0 : (state.running + state.queued + 1) * (state.meanMs || 1)
  }
  const [nearest] = near
  if (nearest !== undefined && (pools.get(nearest)?.state().queued ?? 0) === 0) {
    return nearest
  }
  const first = fit[Math.floor(random() * fit.length)]!
  const second = fit[Math.floor(random() * fit.length)]!
  return loadOf(first) <= loadOf(second) ? first : second
}

async function waitForReplica (options: ReadOptions): Promise<string | undefined> {
  const { view, floor, kind, group, deadline } = options
  const patience = new Deadline(Math.min(group.limits.catchUpMs, deadline.leftMs / 2))
  const hopeful = view.replicaNames.filter((name) => view.takesWork(name))
  if (hopeful.length === 0) {
    return undefined
  }
  const waits = hopeful.map(async (name) => {
    const { channel } = view.upstreams.get(name)!
    const reached = await channel.waitUntil((status) => meetsFloor(logEnd(status), floor), patience)
    const tooOld = (): boolean => view.age.ageMs(name) > kind.maximumAgeMs
    if (reached !== undefined && tooOld()) {
      await view.usablePrimary?.channel.fresh()
      const target = view.knownEnd(view.leadership.primary)
      await channel.waitUntil((status) => meetsFloor(logEnd(status), target), patience)
    }
    if (reached === undefined || tooOld()) {
      throw new Error('not fit in time')
    }
    return name
  })
  return await Promise.any(waits).catch(() => undefined)
}

async function choosePrimary ({ view, deadline }: ReadOptions, reason: string): Promise<ReadChoice> {
  const primary = await view.primary(deadline)
  return { upstream: primary.view.declaration.name, fromReplica: false, reason }
}

async function runRead ({ view, pools, kind, statement, deadline }: ReadOptions, choice: ReadChoice): Promise<Answer> {
  const pool = pools.get(choice.upstream)
  if (pool === undefined) {
    throw new RequestError('not-run', 'NoUpstream', { group: view.name, reason: 'it was removed', retryAfterMs: 100 })
  }
  try {
    const request = { access: 'read', priority: kind.priority, deadline } as const
    return await pool.run(request, async (client) => await client.run(statement, deadline.leftMs, 'not-run'))
  } catch (thrown) {
    if (thrown instanceof RequestError && thrown.entry === 'ConnectionLost') {
      view.markUnreachable(choice.upstream, thrown.message)
    }
    throw thrown
  }
}

/**
 * Finds how far the read may have seen. What it saw must be on a majority before the caller gets it: otherwise a
 * failover could take back what the session has read.
 */
async function confirmRead (options: ReadOptions, choice: ReadChoice, floor: LogPosition): Promise<LogPosition> {
  const { view, deadline } = options
  const channel = view.upstreams.get(choice.upstream)?.channel
  if (channel === undefined) {
    throw new RequestError('not-run', 'NoUpstream', { group: view.name, reason: 'it was removed', retryAfterMs: 100 })
  }
  const { status } = await deadline.race(channel.fresh(), 'not-run', 'confirming a read')
  const seen = logEnd(status)
  if (!meetsFloor(seen, floor)) {
    throw new RequestError('not-run', 'ConnectionLost', { upstream: choice.upstream, reason: 'its log went back' })
  }
  const holders = choice.fromReplica ? 2 : 1
  if (holders < view.majority && !await view.waitForMajority(seen, deadline)) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: view.name, reason: 'the primary was superseded or its replicas do not follow', retryAfterMs: 100
    })
  }
  return laterPosition(seen, floor)
}

function refreshAges ({ view, kind }: ReadOptions): void {
  const interval = Math.max(SHORTEST_REFRESH_MS, Math.min(LONGEST_REFRESH_MS, kind.maximumAgeMs / REFRESH_SHARE))
  if (performance.now() - view.age.newestProbeAt > interval) {
    view.refresh()
  }
}
