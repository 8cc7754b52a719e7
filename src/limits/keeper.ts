/** Keeps the limits of the organisations that fall to this host, and grants what they leave. */
import type { DesiredState } from '../ports/index.ts'
import { createAllowance, type Allowance, type Grant } from './allowance.ts'

/** Options of {@link createKeeper}. */
export interface KeeperOptions {
  desiredState: () => Pick<DesiredState, 'organisations' | 'version'> | undefined
  /** Part of all hosts that this host can see, from 0 to 1: others may keep the same limits for the rest. */
  seenPart: () => number
}

/** What an organisation has asked for here. */
export interface KeptLimit {
  left: number
  granted: number
  refused: number
}

/** Keeps limits. */
export interface Keeper {
  /**
   * Grants operations to an organisation.
   *
   * @param organisation - its name
   * @param wanted - number of operations
   * @returns what was granted; undefined when this host does not know the organisation
   */
  grant: (organisation: string, wanted: number) => Grant | undefined
  /** What was granted and refused here, by organisation. */
  kept: () => Map<string, KeptLimit>
}

/**
 * Creates the keeper.
 *
 * @param options - the limits, and how much this host sees
 * @returns the keeper; nothing has been granted yet
 */
export function createKeeper ({ desiredState, seenPart }: KeeperOptions): Keeper {
  const allowances = new Map<string, { allowance: Allowance, granted: number, refused: number }>()

  const allowanceOf = (organisation: string) => {
    const known = allowances.get(organisation) ?? { allowance: createAllowance(), granted: 0, refused: 0 }
    allowances.set(organisation, known)
    return known
  }
  return {
    grant: (organisation, wanted) => {
      const declared = desiredState()?.organisations.get(organisation)
      if (declared === undefined) {
        allowances.delete(organisation)
        return undefined
      }
      if (declared.limit === undefined) {
        return { granted: wanted, retryAfterMs: 0 }
      }
      const kept = allowanceOf(organisation)
      const grant = kept.allowance.grant(wanted, declared.limit, seenPart())
      kept.granted += grant.granted
      kept.refused += wanted - grant.granted
      return grant
    },
    kept: () => new Map([...allowances].map(([organisation, { allowance, granted, refused }]) =>
      [organisation, { left: allowance.left, granted, refused }]))
  }
}
