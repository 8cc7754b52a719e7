/**
 * Operations that this host may run for each organisation, granted in advance by the owners of the limits. Operations
 * that wait for a grant at the same time share one request; organisation-grants.ts decides its size.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { OperationLimit } from '../ports/index.ts'
import {
  countRequest, computeWanted, createOrganisationGrants, refundGrant, isRefusedLocally, recordAnswer, consumeGrant,
  type GrantAnswer, type OrganisationGrants
} from './organisation-grants.ts'

/** Options of {@link createPrefetchedGrants}. */
interface PrefetchedGrantsOptions {
  /** Requests operations from the owner; undefined when no host answered. */
  requestGrant: (organisation: string, wanted: number) => Promise<GrantAnswer | undefined>
  /** Returns the limit in force, for the details of a refusal. */
  limitOf: (organisation: string) => OperationLimit | undefined
}

/** Operations granted to this host, by organisation. */
export interface PrefetchedGrants {
  /**
   * Takes one operation, waiting for a grant if necessary.
   *
   * @param organisation - name of the organisation
   * @throws RequestError `LimitReached` with verdict `not-run`
   */
  take: (organisation: string) => Promise<void>
  /** Refunds an operation that did not run. */
  refund: (organisation: string) => void
  /** Counts the retry of an operation that may have run, even when no grant is left. */
  countRetry: (organisation: string) => void
}

/** An operation that waits for a grant. */
interface WaitingOperation {
  resolve: () => void
  reject: (error: RequestError) => void
}

/** Grants and waiting operations of an organisation. */
interface OrganisationState {
  name: string
  grants: OrganisationGrants
  waiting: WaitingOperation[]
  isRequesting: boolean
}

/**
 * Creates an empty set of grants.
 *
 * @param options - how grants are requested from owners
 * @returns the grants
 */
export function createPrefetchedGrants ({ requestGrant, limitOf }: PrefetchedGrantsOptions): PrefetchedGrants {
  const organisations = new Map<string, OrganisationState>()

  const organisationOf = (name: string): OrganisationState => {
    const known = organisations.get(name) ??
      { name, grants: createOrganisationGrants(), waiting: [], isRequesting: false }
    organisations.set(name, known)
    return known
  }
  const refusalOf = ({ name, grants }: OrganisationState): RequestError => {
    const retryAfterMs = Math.max(1, Math.ceil(grants.retryAt - performance.now()))
    const { version, owner: keeper } = grants.lastAnswer ?? {}
    return new RequestError('not-run', 'LimitReached', {
      organisation: name, limit: limitOf(name), version, keeper, retryAfterMs
    })
  }
  const serveWaiting = (organisation: OrganisationState): void => {
    const { grants, waiting } = organisation
    while (waiting.length > 0 && grants.left >= 1) {
      grants.left--
      waiting.shift()!.resolve()
    }
    if (isRefusedLocally(grants)) {
      waiting.splice(0).forEach(({ reject }) => reject(refusalOf(organisation)))
    }
  }
  const requestGrants = async (organisation: OrganisationState): Promise<void> => {
    const { name, grants, waiting } = organisation
    organisation.isRequesting = true
    while (waiting.length > 0) {
      const wanted = computeWanted(grants, waiting.length)
      const answer = await requestGrant(name, wanted)
      recordAnswer(grants, wanted, waiting.length, answer)
      serveWaiting(organisation)
    }
    organisation.isRequesting = false
  }
  return {
    take: async (name) => {
      const organisation = organisationOf(name)
      const { grants, waiting } = organisation
      countRequest(grants)
      if (consumeGrant(grants)) {
        return
      }
      if (isRefusedLocally(grants)) {
        throw refusalOf(organisation)
      }
      await new Promise<void>((resolve, reject) => {
        waiting.push({ resolve, reject })
        if (!organisation.isRequesting) {
          void requestGrants(organisation)
        }
      })
    },
    refund: (name) => refundGrant(organisationOf(name).grants),
    countRetry: (name) => { organisationOf(name).grants.left-- }
  }
}
