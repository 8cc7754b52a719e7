/**
 * Grants operations within the limits that this host owns, as the owner or as a fallback owner while the owner is
 * silent (limit-order.ts).
 *
 * An owner grants the fraction of the limit that equals its fraction of reachable hosts, since in a partition each side
 * has an owner and both together must stay within the limit. A fallback owner, and an owner in its warm-up, grants at
 * most {@link FALLBACK}. A new bucket starts full only when no other host can have owned the limit for a whole window.
 * After a common start of all hosts there is no previous owner that some hosts still ask, so the warm-up is left out.
 * The first bucket then fills from the time at which the last earlier process had ended, as if that had left it empty.
 */
import type { LogFields } from '../../core/logger/types.ts'
import type { DesiredState } from '../ports/index.ts'
import { bucketParametersOf, type LimitCounting } from './bucket-parameters.ts'
import type { Grant, PriorityRequest, ReturnedOperations } from './limit-frames.ts'
import { createLimitPressure, type LimitPressure } from './limit-pressure.ts'
import { createPriorityGrants, type PriorityGrants } from './priority-grants.ts'
import { createTokenBucket, type TokenBucket } from './token-bucket.ts'

/**
 * Fraction of the limit that a fallback owner grants, and the time in milliseconds for which a new owner grants no more
 * than that. The time exceeds the propagation of the host list, during which some hosts still ask the previous owner.
 */
const FALLBACK = { share: 0.25, warmUpMs: 1500 } as const
/** Time without a request after which the bucket is replaced if another host may have owned the limit since. */
const BUCKET_IDLE_MS = 1000

/** Position of this host as an owner of a limit. */
export interface Ownership {
  /** Whether this host is the owner, first in the order of hosts; otherwise it is a fallback owner. */
  isFirst: boolean
  /** Time since which no other host can have owned the limit, on the monotonic clock, in milliseconds. */
  exclusiveSince: number
  /**
   * Time at which the last process ended that may have owned the limit before those that run now, on the monotonic
   * clock, in milliseconds; undefined if one may still run (common-start.ts).
   */
  earlierEndedAt?: number
}

/** Options of {@link createLimitOwner}. */
interface LimitOwnerOptions {
  desiredState: () => Pick<DesiredState, 'organisations'> | undefined
  counting: () => LimitCounting
  /** Fraction of all hosts that is reachable, from 0 to 1; another host may own the same limits for the rest. */
  reachableShare: () => number
  /** Called at most once a second for an organisation while its operations are refused. */
  onPressure?: (organisation: string, fields: LogFields) => void
}

/** Operations granted and refused to an organisation on this host. */
export interface OwnedLimit {
  left: number
  granted: number
  refused: number
}

/** Grants operations within the limits that this host owns. */
export interface LimitOwner {
  /**
   * Grants operations to an organisation.
   *
   * @param organisation - name of the organisation
   * @param wanted - number of operations
   * @param ownership - position of this host as an owner of the limit
   * @param byPriority - the operations among them that wait; undefined when an older process requests them, which are
   *   served as the most urgent ones, without a wait
   * @returns the granted operations; undefined when this host does not know the organisation
   */
  grant: (
    organisation: string, wanted: number, ownership: Ownership, byPriority?: readonly PriorityRequest[]
  ) => Grant | undefined
  /** Credits operations that did not run, if this host's bucket has granted them. */
  credit: (returned: ReturnedOperations) => void
  /** Drops the limits of organisations that are no longer declared. */
  retain: (declared: { has: (name: string) => boolean }) => void
  /** Operations granted and refused on this host, by organisation. */
  owned: () => Map<string, OwnedLimit>
}

/** State of a limit that this host owns. */
interface OwnedOrganisation {
  bucket: TokenBucket
  /** Demand and retry times by priority; they outlast the bucket. */
  grants: PriorityGrants
  pressure: LimitPressure
  requestedAt: number
  /** Time since which this host is the owner; undefined while it is a fallback owner. */
  firstSince?: number
  granted: number
  refused: number
}

const SECOND_MS = 1000

/**
 * Creates the owner of limits.
 *
 * @param options - the limits, and the fraction of hosts that is reachable
 * @returns the owner
 */
export function createLimitOwner (
  { desiredState, counting, reachableShare, onPressure }: LimitOwnerOptions
): LimitOwner {
  const organisations = new Map<string, OwnedOrganisation>()

  const getOrCreateOwned = (organisation: string, ownership: Ownership): OwnedOrganisation => {
    const before = organisations.get(organisation)
    if (before !== undefined && isBucketValid(before, ownership)) {
      return before
    }
    const owned = createOwned(ownership, counting().windowSeconds * SECOND_MS, before)
    organisations.set(organisation, owned)
    return owned
  }
  return {
    grant: (organisation, wanted, ownership, byPriority) => {
      const declared = desiredState()?.organisations.get(organisation)
      if (declared === undefined) {
        organisations.delete(organisation)
        return undefined
      }
      if (declared.limit === undefined) {
        return { granted: wanted, retryAfterMs: 0 }
      }
      const owned = getOrCreateOwned(organisation, ownership)
      owned.requestedAt = performance.now()
      const share = grantableShare(owned, ownership, reachableShare)
      const requests = byPriority ?? [{ priority: 0, wanted, maximumWaitMs: 0 }]
      const waiting = requests.reduce((sum, request) => sum + request.wanted, 0)
      const parameters = bucketParametersOf(declared.limit, counting())
      const inForce = { bucket: owned.bucket, parameters, share }
      const grant = owned.grants.grant(requests, Math.max(0, wanted - waiting), inForce)
      const refused = waiting - (grant.byPriority ?? []).reduce((sum, { granted }) => sum + granted, 0)
      owned.granted += grant.granted
      owned.refused += refused
      const report = owned.pressure.count(requests, grant.byPriority ?? [], owned.bucket.level)
      if (report !== undefined) {
        onPressure?.(organisation, report)
      }
      return byPriority === undefined ? { granted: grant.granted, retryAfterMs: grant.retryAfterMs } : grant
    },
    credit: ({ organisation, operations, bucket }) => {
      const owned = organisations.get(organisation)
      if (owned?.bucket.id === bucket) {
        owned.pressure.countReturned(owned.bucket.credit(operations))
      }
    },
    retain: (declared) => {
      [...organisations.keys()].filter((name) => !declared.has(name)).forEach((name) => organisations.delete(name))
    },
    owned: () => new Map([...organisations].map(([organisation, { bucket, granted, refused }]) =>
      [organisation, { left: Math.floor(bucket.level), granted, refused }]))
  }
}

/** Whether the bucket may still be used: it is recent, or no other host can have owned the limit since its last use. */
function isBucketValid ({ requestedAt }: OwnedOrganisation, { exclusiveSince }: Ownership): boolean {
  return requestedAt >= exclusiveSince || performance.now() - requestedAt <= BUCKET_IDLE_MS
}

function createOwned (
  { isFirst, exclusiveSince, earlierEndedAt }: Ownership, windowMs: number, before: OwnedOrganisation | undefined
): OwnedOrganisation {
  const now = performance.now()
  const startsFull = isFirst && now - exclusiveSince >= windowMs
  return {
    // A bucket that replaces another one on this host must not fill again for the time before.
    bucket: createTokenBucket(startsFull, isFirst && before === undefined ? earlierEndedAt : undefined),
    grants: before?.grants ?? createPriorityGrants(),
    pressure: before?.pressure ?? createLimitPressure(),
    requestedAt: now,
    // An owner of long standing skips the warm-up.
    firstSince: startsFull ? exclusiveSince : undefined,
    granted: before?.granted ?? 0,
    refused: before?.refused ?? 0
  }
}

/** Computes the fraction of the limit that this host may grant, and updates `firstSince`. */
function grantableShare (
  owned: OwnedOrganisation, { isFirst, earlierEndedAt }: Ownership, reachableShare: () => number
): number {
  const now = performance.now()
  owned.firstSince = isFirst ? owned.firstSince ?? now : undefined
  const isEstablished = owned.firstSince !== undefined &&
    (earlierEndedAt !== undefined || now - owned.firstSince >= FALLBACK.warmUpMs)
  return isEstablished ? reachableShare() : Math.min(reachableShare(), FALLBACK.share)
}
