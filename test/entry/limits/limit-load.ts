/** Plays the load of one organisation on many hosts against the owner of its limit, on a paused clock. */
import type { Clock } from '@sinonjs/fake-timers'
import type { RequestError } from '../../../src/core/errors/index.ts'
import { TIMED_OUT, withTimeout } from '../../../src/core/time/deadline.ts'
import { createLimitOwner, type LimitOwner, type Ownership } from '../../../src/entry/limits/limit-owner.ts'
import type { Grant } from '../../../src/entry/limits/limit-frames.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from '../../../src/entry/limits/prefetched-grants.ts'
import type { OperationLimit } from '../../../src/entry/ports/index.ts'

/** Time of a frame between a host and the owner, in milliseconds. */
const TRANSPORT_MS = 3
/** Time that an owner has to answer, in milliseconds. */
const OWNER_TIMEOUT_MS = 200
/** Longest time between the grant and the run of an operation, in milliseconds. */
const RUN_DELAY_MS = 300
const COUNTING = { windowSeconds: 5, tolerance: { part: 0.1, operations: 20 } }
const WINDOW_MS = COUNTING.windowSeconds * 1000

/** Kind of request. */
export interface LoadKind {
  priority: number
  perSecond: number
  targetMs: number
  timeoutMs: number
}

/** Outcome of one request. */
export interface LoadOutcome {
  kind: LoadKind
  at: number
  /** When it was granted, and when it reached an upstream; undefined if it was refused. */
  grantedAt?: number
  ranAt?: number
  /** Longest retry delay that it was told, in milliseconds. */
  retryAfterMs: number
}

/** Hosts that share the limit of an organisation named `red`. */
export interface LimitWorld {
  owner: LimitOwner
  ownership: Ownership
  hosts: PrefetchedGrants[]
  outcomes: LoadOutcome[]
  /** Operations counted by hosts, by outcome. */
  counts: Record<string, number>
  /** Settles when the owner runs again; undefined while it runs. */
  ownerPause?: Promise<void> | undefined
  losesReturns: boolean
  /** Whether the owner is an older process, and whether hosts of even index are. */
  hasOldOwner: boolean
  hasOldHosts: boolean
  /** Sends a request through a host, with up to two retries through other hosts. */
  send: (kind: LoadKind) => void
}

/** Creates an owner of the limit. */
export function createOwnerOf (limit: OperationLimit): LimitOwner {
  const organisations = new Map([['red', { name: 'red', limit }]])
  return createLimitOwner({
    desiredState: () => ({ organisations }), counting: () => COUNTING, reachableShare: () => 1
  })
}

const pauseFor = async (forMs: number): Promise<void> => {
  await new Promise((resolve) => { setTimeout(resolve, forMs) })
}

/**
 * Creates hosts and an owner of long standing.
 *
 * @param hostCount - number of hosts
 * @param limit - the limit
 * @returns the world
 */
export function createLimitWorld (hostCount: number, limit: OperationLimit): LimitWorld {
  const createHost = (_: unknown, index: number): PrefetchedGrants => createPrefetchedGrants({
    limitOf: () => limit,
    count: (outcome, operations) => { world.counts[outcome] = (world.counts[outcome] ?? 0) + operations },
    requestGrant: async (organisation, wanted, byPriority) => {
      const ask = async (): Promise<Grant | undefined> => {
        await pauseFor(TRANSPORT_MS)
        await world.ownerPause
        const isOld = world.hasOldOwner || (world.hasOldHosts && index % 2 === 0)
        const grant = world.owner.grant(organisation, wanted, world.ownership, isOld ? undefined : byPriority)
        await pauseFor(TRANSPORT_MS)
        return grant
      }
      const grant = await withTimeout(ask(), OWNER_TIMEOUT_MS)
      return grant === TIMED_OUT || grant === undefined ? undefined : { ...grant, version: 1, owner: 'owner' }
    },
    returnOperations: (_owner, returned) => {
      if (!world.losesReturns) {
        setTimeout(() => world.owner.credit(returned), TRANSPORT_MS)
      }
    }
  })
  const attempt = async (outcome: LoadOutcome, retriesLeft: number): Promise<void> => {
    const { priority, targetMs, timeoutMs } = outcome.kind
    const host = world.hosts[Math.floor(Math.random() * hostCount)]!
    try {
      outcome.grantedAt = await host.take('red', { priority, maximumWaitMs: targetMs / 2, timeoutMs })
      outcome.ranAt = outcome.grantedAt + Math.random() * RUN_DELAY_MS
    } catch (thrown) {
      const { retryAfterMs } = (thrown as RequestError).details as { retryAfterMs: number }
      outcome.retryAfterMs = Math.max(outcome.retryAfterMs, retryAfterMs)
      if (retriesLeft > 0) {
        await pauseFor(retryAfterMs)
        await attempt(outcome, retriesLeft - 1)
      }
    }
  }
  const world: LimitWorld = {
    owner: createOwnerOf(limit),
    ownership: { isFirst: true, exclusiveSince: performance.now() - 2 * WINDOW_MS },
    hosts: [],
    outcomes: [],
    counts: {},
    losesReturns: false,
    hasOldOwner: false,
    hasOldHosts: false,
    send: (kind) => {
      const outcome: LoadOutcome = { kind, at: performance.now(), retryAfterMs: 0 }
      world.outcomes.push(outcome)
      void attempt(outcome, 2)
    }
  }
  world.hosts = Array.from({ length: hostCount }, createHost)
  return world
}

/**
 * Sends requests of some kinds at random times.
 *
 * @param clock - the clock
 * @param world - the hosts
 * @param kinds - the kinds of request
 * @param forMs - duration, in milliseconds
 */
export async function playLoad (clock: Clock, world: LimitWorld, kinds: LoadKind[], forMs: number): Promise<void> {
  for (let elapsed = 0; elapsed < forMs; elapsed++) {
    for (const kind of kinds) {
      const expected = kind.perSecond / 1000
      const count = Math.floor(expected) + (Math.random() < expected % 1 ? 1 : 0)
      Array.from({ length: count }, () => world.send(kind))
    }
    await clock.tickAsync(1)
  }
}

/**
 * Counts what ran in windows.
 *
 * @param world - the hosts
 * @param limit - the limit
 * @param from - start of the first window that counts for the least share
 * @param until - start of the last one
 * @returns the least number of operations granted and the greatest number run in any window, and the bound, as parts of
 *   rate and burst
 */
export function sharesOf (
  world: LimitWorld, { perSecond, burst }: OperationLimit, from: number, until: number
): { first: number, least: number, most: number, bound: number } {
  const declared = perSecond * COUNTING.windowSeconds + burst
  const granted = world.outcomes.flatMap(({ grantedAt }) => grantedAt ?? [])
  const ran = world.outcomes.flatMap(({ ranAt }) => ranAt ?? [])
  const countFrom = (times: number[], start: number): number =>
    times.filter((time) => time >= start && time < start + WINDOW_MS).length / declared
  const starts = Array.from({ length: Math.floor((until - from) / 100) + 1 }, (_, index) => from + index * 100)
  return {
    first: countFrom(granted, from),
    least: Math.min(...starts.map((start) => countFrom(granted, start))),
    most: Math.max(0, ...ran.map((start) => countFrom(ran, start))),
    bound: 1 + COUNTING.tolerance.part + COUNTING.tolerance.operations / declared
  }
}
