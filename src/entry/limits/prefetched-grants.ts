/**
 * Operations that this host may run for each organisation, granted in advance by the owners of the limits. Owns the
 * operations that wait for a grant: those that wait at the same time share one question. How many are asked for, and
 * for how long a refusal holds, is decided in organisation-grants.ts.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { OperationLimit } from '../ports/index.ts'
import {
  countRequest, countWanted, createOrganisationGrants, giveBackGranted, isRefusedHere, recordAnswer, takeGranted,
  type GrantAnswer, type OrganisationGrants
} from './organisation-grants.ts'

/** Options of {@link createPrefetchedGrants}. */
interface PrefetchedGrantsOptions {
  /** Asks the owner for operations; undefined when no host answered. */
  ask: (organisation: string, wanted: number) => Promise<GrantAnswer | undefined>
  /** Limit in force, for the reason of a refusal. */
  limitOf: (organisation: string) => OperationLimit | undefined
}

/** Operations that were granted to this host. */
export interface PrefetchedGrants {
  /**
   * Takes one operation.
   *
   * @param organisation - name of the organisation
   * @throws RequestError `LimitReached` with verdict `not-run`
   */
  take: (organisation: string) => Promise<void>
  /** Gives back an operation that was certainly not run. */
  giveBack: (organisation: string) => void
  /** Counts an operation that may have run once more, whatever is left. */
  countAgain: (organisation: string) => void
}

/** An operation that waits for a grant. */
interface WaitingOperation {
  resolve: () => void
  reject: (error: RequestError) => void
}

/** An organisation with the operations that wait. */
interface KnownOrganisation {
  name: string
  grants: OrganisationGrants
  waiting: WaitingOperation[]
  isAsking: boolean
}

/**
 * Creates the grants; nothing has been granted yet.
 *
 * @param options - asks the hosts that own limits
 * @returns the grants
 */
export function createPrefetchedGrants ({ ask, limitOf }: PrefetchedGrantsOptions): PrefetchedGrants {
  const organisations = new Map<string, KnownOrganisation>()

  const organisationOf = (name: string): KnownOrganisation => {
    const known = organisations.get(name) ?? { name, grants: createOrganisationGrants(), waiting: [], isAsking: false }
    organisations.set(name, known)
    return known
  }
  const refusalOf = ({ name, grants }: KnownOrganisation): RequestError => {
    const retryAfterMs = Math.max(1, Math.ceil(grants.retryAt - performance.now()))
    const { version, keeper } = grants.refusedBy ?? {}
    return new RequestError('not-run', 'LimitReached', {
      organisation: name, limit: limitOf(name), version, keeper, retryAfterMs
    })
  }
  const serveWaiting = (organisation: KnownOrganisation): void => {
    const { grants, waiting } = organisation
    while (waiting.length > 0 && grants.left >= 1) {
      grants.left--
      waiting.shift()!.resolve()
    }
    if (isRefusedHere(grants)) {
      waiting.splice(0).forEach(({ reject }) => reject(refusalOf(organisation)))
    }
  }
  const askOwner = async (organisation: KnownOrganisation): Promise<void> => {
    const { name, grants, waiting } = organisation
    organisation.isAsking = true
    while (waiting.length > 0) {
      const wanted = countWanted(grants, waiting.length)
      const answer = await ask(name, wanted)
      recordAnswer(grants, wanted, waiting.length, answer)
      serveWaiting(organisation)
    }
    organisation.isAsking = false
  }
  return {
    take: async (name) => {
      const organisation = organisationOf(name)
      const { grants, waiting } = organisation
      countRequest(grants)
      if (takeGranted(grants)) {
        return
      }
      if (isRefusedHere(grants)) {
        throw refusalOf(organisation)
      }
      await new Promise<void>((resolve, reject) => {
        waiting.push({ resolve, reject })
        if (!organisation.isAsking) {
          void askOwner(organisation)
        }
      })
    },
    giveBack: (name) => giveBackGranted(organisationOf(name).grants),
    countAgain: (name) => { organisationOf(name).grants.left-- }
  }
}
