/**
 * Returns granted operations that this host has not used to the buckets that granted them, for all organisations with
 * one timer and with at most one batch in each {@link RETURN_INTERVAL_MS}.
 */
import type { ReturnedOperations } from './limit-frames.ts'
import type { OperationOutcome } from './operation-counts.ts'
import {
  holdsOperations, removeUnused, RETURN_INTERVAL_MS, type GrantingBucket, type OrganisationGrants
} from './organisation-grants.ts'

/** Grants of an organisation. */
interface HeldGrants {
  name: string
  grants: OrganisationGrants
}

/** Options of {@link createUnusedReturns}. */
interface UnusedReturnsOptions {
  /** Grants by organisation. */
  organisations: ReadonlyMap<string, HeldGrants>
  /** Returns operations to the host that granted them. */
  returnOperations?: ((owner: string, returned: ReturnedOperations) => void) | undefined
  /** Counts operations by outcome. */
  count: (outcome: OperationOutcome, operations: number) => void
}

/** Returns unused operations to their owners, in batches. */
export interface UnusedReturns {
  /** Returns the unused operations of a host once it can't use them any more. */
  schedule: (organisation: HeldGrants) => void
  /** Returns an operation that a bucket granted and that must not be used here. */
  giveBack: (organisation: HeldGrants, bucket: GrantingBucket | undefined) => void
  close: () => void
}

/**
 * Creates the returns of a host. One timer runs while it holds unused operations.
 *
 * @param options - the grants, and how operations are returned
 * @returns the returns
 */
export function createUnusedReturns ({ organisations, returnOperations, count }: UnusedReturnsOptions): UnusedReturns {
  let timer: NodeJS.Timeout | undefined
  const returnUnused = ({ name, grants }: HeldGrants): void => {
    const { returned, expired } = removeUnused(grants)
    count('expired', expired)
    const { bucket } = grants
    if (returned > 0 && bucket !== undefined) {
      count('returned', returned)
      returnOperations?.(bucket.owner, { organisation: name, operations: returned, bucket: bucket.id })
    } else {
      count('expired', returned)
    }
  }
  const run = (): void => {
    timer = undefined
    let holds = false
    for (const organisation of organisations.values()) {
      if (holdsOperations(organisation.grants)) {
        returnUnused(organisation)
        holds ||= holdsOperations(organisation.grants)
      }
    }
    if (holds) {
      timer = setTimeout(run, RETURN_INTERVAL_MS)
    }
  }
  const schedule = ({ grants }: HeldGrants): void => {
    if (timer === undefined && holdsOperations(grants)) {
      timer = setTimeout(run, RETURN_INTERVAL_MS)
    }
  }
  return {
    schedule,
    giveBack: (organisation, bucket) => {
      if (bucket !== undefined && bucket === organisation.grants.bucket) {
        organisation.grants.toReturn++
        schedule(organisation)
      } else {
        count('expired', 1)
      }
    },
    close: () => clearTimeout(timer)
  }
}
