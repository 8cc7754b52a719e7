/** Plays the load of one organisation on many hosts against one owner of its limit, on a paused clock. */
import type { Clock } from '@sinonjs/fake-timers'
import type { RequestError } from '../../../src/core/errors/index.ts'
import { createLimitOwner, type LimitOwner } from '../../../src/entry/limits/limit-owner.ts'
import { createPrefetchedGrants, type PrefetchedGrants } from '../../../src/entry/limits/prefetched-grants.ts'
import type { OperationLimit } from '../../../src/entry/ports/index.ts'

/** Time of a frame between a host and the owner, in milliseconds. */
const TRANSPORT_MS = 3

/** Kind of request, by priority. */
export interface LoadKind {
  priority: number
  perSecond: number
  targetMs: number
  timeoutMs: number
}

/** Outcome of one request. */
export interface LoadOutcome {
  priority: number
  at: number
  /** When it ran; undefined if it was refused. */
  ranAt?: number
  retryAfterMs?: number
}

/** Hosts that share the limit of an organisation named `red`. */
export interface LimitWorld {
  owner: LimitOwner
  hosts: PrefetchedGrants[]
  outcomes: LoadOutcome[]
  /** Whether frames that return operations are lost. */
  losesReturns: boolean
  /** Whether the owner answers. */
  isOwnerUp: boolean
  /** Sends a request through a host, with up to two retries through other hosts. */
  send: (kind: LoadKind) => void
}

/** Settings of the tolerance and the window in the tests of the load. */
export const COUNTING = { windowSeconds: 5, tolerance: { part: 0.1, operations: 20 } }

/**
 * Creates hosts and an owner whose bucket starts full.
 *
 * @param hostCount - number of hosts
 * @param limit - the limit
 * @returns the world
 */
export function createLimitWorld (hostCount: number, limit: OperationLimit): LimitWorld {
  const organisations = new Map([['red', { name: 'red', limit }]])
  const owner = createLimitOwner({
    desiredState: () => ({ organisations }), counting: () => COUNTING, reachableShare: () => 1
  })
  const travel = async (): Promise<void> => { await new Promise((resolve) => { setTimeout(resolve, TRANSPORT_MS) }) }
  const createHost = (): PrefetchedGrants => createPrefetchedGrants({
    limitOf: () => limit,
    requestGrant: async (organisation, wanted, byPriority) => {
      await travel()
      const grant = world.isOwnerUp
        ? owner.grant(organisation, wanted, { isFirst: true, exclusiveSince: -10_000 }, byPriority)
        : undefined
      await travel()
      return grant && { ...grant, version: 1, owner: 'owner' }
    },
    returnOperations: (_owner, returned) => {
      if (!world.losesReturns) {
        setTimeout(() => owner.credit(returned), TRANSPORT_MS)
      }
    }
  })
  const attempt = async (kind: LoadKind, outcome: LoadOutcome, retriesLeft: number): Promise<void> => {
    const host = world.hosts[Math.floor(Math.random() * hostCount)]!
    const { priority, targetMs, timeoutMs } = kind
    try {
      outcome.ranAt = await host.take('red', { priority, maximumWaitMs: targetMs / 2, timeoutMs })
    } catch (thrown) {
      const { retryAfterMs } = (thrown as RequestError).details as { retryAfterMs: number }
      outcome.retryAfterMs = retryAfterMs
      if (retriesLeft > 0) {
        await new Promise((resolve) => { setTimeout(resolve, retryAfterMs) })
        await attempt(kind, outcome, retriesLeft - 1)
      }
    }
  }
  const world: LimitWorld = {
    owner,
    hosts: [],
    outcomes: [],
    losesReturns: false,
    isOwnerUp: true,
    send: (kind) => {
      const outcome: LoadOutcome = { priority: kind.priority, at: performance.now() }
      world.outcomes.push(outcome)
      void attempt(kind, outcome, 2)
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
