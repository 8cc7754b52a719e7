/**
 * What this host may grant of the limits that it owns, as the first in the order of hosts or as a deputy.
 *
 * Inputs: whether this host is the first and since when no other can have owned the limit in its place (see
 * limit-order.ts); the part of all hosts that it can see; when operations were last requested, in milliseconds.
 * Rule: the first grants the part of the limit that the hosts it sees have of all; a deputy, and a first one for
 * {@link DEPUTY} after it became the first, a quarter at most. The bucket is created anew where another host may have
 * owned the limit since the last request; it begins full only where that cannot be within a whole window.
 * Why: hosts that are cut in two have an owner on each side, and both together must stay within the limit.
 */
import type { DesiredState } from '../ports/index.ts'
import { bucketParametersOf, type LimitCounting } from './bucket-parameters.ts'
import { createTokenBucket, type Grant, type TokenBucket } from './token-bucket.ts'

/**
 * Part of the limit that a deputy grants, and for how long a host that has just become the first grants no more either,
 * in milliseconds. Lists of hosts are the same everywhere within a second, and until then some hosts ask the one that
 * owned the limit before: hosts that are cut in two would grant more than the limit allows in a window.
 */
const DEPUTY = { part: 0.25, beginningMs: 1500 } as const
/**
 * Time without a request after which the bucket is created anew, in milliseconds, if another host may have owned the
 * limit since.
 */
const UNREQUESTED_MS = 1000

/** What entitles this host to grant a limit. */
export interface Ownership {
  /** Whether it comes first in the order of hosts; else it is the deputy of one that does not answer. */
  isFirst: boolean
  /** Since when no other host can have owned the limit in its place, on the steady clock, in milliseconds. */
  exclusiveSince: number
}

/** Options of {@link createLimitOwner}. */
interface LimitOwnerOptions {
  desiredState: () => Pick<DesiredState, 'organisations'> | undefined
  counting: () => LimitCounting
  /** Part of all hosts that this host can see, from 0 to 1: another may own the same limits for the rest. */
  seenPart: () => number
}

/** What an organisation has requested here. */
export interface OwnedLimit {
  left: number
  granted: number
  refused: number
}

/** Owns limits. */
export interface LimitOwner {
  /**
   * Grants operations to an organisation.
   *
   * @param organisation - its name
   * @param wanted - number of operations
   * @param ownership - what entitles this host
   * @returns what was granted; undefined when this host does not know the organisation
   */
  grant: (organisation: string, wanted: number, ownership: Ownership) => Grant | undefined
  /** What was granted and refused here, by organisation. */
  owned: () => Map<string, OwnedLimit>
}

/** An organisation whose limit this host owns. */
interface OwnedOrganisation {
  bucket: TokenBucket
  requestedAt: number
  /** Since when this host comes first; undefined while it is a deputy. */
  firstSince?: number
  granted: number
  refused: number
}

const SECOND_MS = 1000

/**
 * Creates the owner.
 *
 * @param options - the limits, and how much this host sees
 * @returns the owner; nothing has been granted yet
 */
export function createLimitOwner ({ desiredState, counting, seenPart }: LimitOwnerOptions): LimitOwner {
  const organisations = new Map<string, OwnedOrganisation>()

  const ownedOf = (organisation: string, ownership: Ownership): OwnedOrganisation => {
    const before = organisations.get(organisation)
    if (before !== undefined && isStillValid(before, ownership)) {
      return before
    }
    const owned = createOwned(ownership, counting().windowSeconds * SECOND_MS, before)
    organisations.set(organisation, owned)
    return owned
  }
  return {
    grant: (organisation, wanted, ownership) => {
      const declared = desiredState()?.organisations.get(organisation)
      if (declared === undefined) {
        organisations.delete(organisation)
        return undefined
      }
      if (declared.limit === undefined) {
        return { granted: wanted, retryAfterMs: 0 }
      }
      const owned = ownedOf(organisation, ownership)
      owned.requestedAt = performance.now()
      const part = grantablePart(owned, ownership, seenPart)
      const grant = owned.bucket.grant(wanted, bucketParametersOf(declared.limit, counting()), part)
      owned.granted += grant.granted
      owned.refused += wanted - grant.granted
      return grant
    },
    owned: () => new Map([...organisations].map(([organisation, { bucket, granted, refused }]) =>
      [organisation, { left: bucket.left, granted, refused }]))
  }
}

/** Whether no other host can have owned the limit since the last request, or that was just now. */
function isStillValid ({ requestedAt }: OwnedOrganisation, { exclusiveSince }: Ownership): boolean {
  return requestedAt >= exclusiveSince || performance.now() - requestedAt <= UNREQUESTED_MS
}

function createOwned (
  { isFirst, exclusiveSince }: Ownership, windowMs: number, before: OwnedOrganisation | undefined
): OwnedOrganisation {
  const now = performance.now()
  const isUnused = isFirst && now - exclusiveSince >= windowMs
  return {
    bucket: createTokenBucket(isUnused),
    requestedAt: now,
    // One that has come first for long need not hold back at first.
    firstSince: isUnused ? exclusiveSince : undefined,
    granted: before?.granted ?? 0,
    refused: before?.refused ?? 0
  }
}

/** The part of the limit that this host may grant; also records since when it comes first. */
function grantablePart (owned: OwnedOrganisation, { isFirst }: Ownership, seenPart: () => number): number {
  const now = performance.now()
  owned.firstSince = isFirst ? owned.firstSince ?? now : undefined
  const isEstablished = owned.firstSince !== undefined && now - owned.firstSince >= DEPUTY.beginningMs
  return isEstablished ? seenPart() : Math.min(seenPart(), DEPUTY.part)
}
