/** Keeps the limits of the organisations that fall to this host, and grants what they leave. */
import type { DesiredState } from '../ports/index.ts'
import { createAllowance, type Allowance, type Grant } from './allowance.ts'
import { STANDING_IN, UNASKED_MS } from './consts.ts'
import { paceOf, type LimitCounting } from './pace.ts'

/** What entitles this host to keep a limit. */
export interface Standing {
  /** Whether it comes first in the order of hosts; else it stands in for one that does not answer. */
  isFirst: boolean
  /** Since when no other host can have kept the limit in its place, on the steady clock, in milliseconds. */
  sureSince: number
}

/** Options of {@link createLimitOwner}. */
interface LimitOwnerOptions {
  desiredState: () => Pick<DesiredState, 'organisations'> | undefined
  counting: () => LimitCounting
  /** Part of all hosts that this host can see, from 0 to 1: another may keep the same limits for the rest. */
  seenPart: () => number
}

/** What an organisation has asked for here. */
interface KeptLimit {
  left: number
  granted: number
  refused: number
}

/** Keeps limits. */
interface LimitOwner {
  /**
   * Grants operations to an organisation.
   *
   * @param organisation - its name
   * @param wanted - number of operations
   * @param standing - what entitles this host
   * @returns what was granted; undefined when this host does not know the organisation
   */
  grant: (organisation: string, wanted: number, standing: Standing) => Grant | undefined
  /** What was granted and refused here, by organisation. */
  kept: () => Map<string, KeptLimit>
}

/** An organisation whose limit is kept here. */
interface KeptOrganisation {
  allowance: Allowance
  askedAt: number
  /** Since when this host comes first; undefined while it stands in for another. */
  firstSince?: number
  granted: number
  refused: number
}

const SECOND_MS = 1000

/**
 * Creates the keeper.
 *
 * @param options - the limits, and how much this host sees
 * @returns the keeper; nothing has been granted yet
 */
export function createLimitOwner ({ desiredState, counting, seenPart }: LimitOwnerOptions): LimitOwner {
  const organisations = new Map<string, KeptOrganisation>()

  /** Begins anew where another host may have kept the limit since it was last asked for here. */
  const keptOf = (organisation: string, { isFirst, sureSince }: Standing): KeptOrganisation => {
    const now = performance.now()
    const before = organisations.get(organisation)
    if (before !== undefined && (before.askedAt >= sureSince || now - before.askedAt <= UNASKED_MS)) {
      return before
    }
    const isUnused = isFirst && now - sureSince >= counting().windowSeconds * SECOND_MS
    const kept: KeptOrganisation = {
      allowance: createAllowance(isUnused),
      askedAt: now,
      // One that has come first for long need not hold back at first.
      firstSince: isUnused ? sureSince : undefined,
      granted: before?.granted ?? 0,
      refused: before?.refused ?? 0
    }
    organisations.set(organisation, kept)
    return kept
  }
  const partOf = (kept: KeptOrganisation, isFirst: boolean): number => {
    const now = performance.now()
    kept.firstSince = isFirst ? kept.firstSince ?? now : undefined
    const isEstablished = kept.firstSince !== undefined && now - kept.firstSince >= STANDING_IN.beginningMs
    return isEstablished ? seenPart() : Math.min(seenPart(), STANDING_IN.part)
  }
  return {
    grant: (organisation, wanted, standing) => {
      const declared = desiredState()?.organisations.get(organisation)
      if (declared === undefined) {
        organisations.delete(organisation)
        return undefined
      }
      if (declared.limit === undefined) {
        return { granted: wanted, retryAfterMs: 0 }
      }
      const kept = keptOf(organisation, standing)
      kept.askedAt = performance.now()
      const grant = kept.allowance.grant(wanted, paceOf(declared.limit, counting()), partOf(kept, standing.isFirst))
      kept.granted += grant.granted
      kept.refused += wanted - grant.granted
      return grant
    },
    kept: () => new Map([...organisations].map(([organisation, { allowance, granted, refused }]) =>
      [organisation, { left: allowance.left, granted, refused }]))
  }
}
