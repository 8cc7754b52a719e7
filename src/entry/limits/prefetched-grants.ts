/**
 * Operations that this host may run for each organisation, granted by the owners of the limits. Operations that wait
 * for a grant at the same time share one request; organisation-grants.ts decides what it asks for in advance.
 * Operations granted with a turn wait for it here. Unused operations are returned to the owner in batches.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { OperationLimit } from '../ports/index.ts'
import type { PriorityGrant, PriorityRequest, ReturnedOperations } from './limit-frames.ts'
import { createLocalRefusals, type LocalRefusals } from './local-refusals.ts'
import type { OperationOutcome } from './operation-counts.ts'
import {
  computeAdvance, consumeGrant, countRequest, countUnconditionally, createOrganisationGrants, grantsByPriority,
  recordAnswer, refundGrant, type GrantAnswer, type OrganisationGrants
} from './organisation-grants.ts'
import { createUnusedReturns, type UnusedReturns } from './unused-returns.ts'
import { requestsOf, type OperationRequest, type WaitingOperation } from './waiting-operations.ts'

/** Options of {@link createPrefetchedGrants}. */
interface PrefetchedGrantsOptions {
  /** Requests operations from the owner; undefined when no host answered. */
  requestGrant: (
    organisation: string, wanted: number, byPriority: readonly PriorityRequest[]
  ) => Promise<GrantAnswer | undefined>
  /** Returns operations to the host that granted them. */
  returnOperations?: (owner: string, returned: ReturnedOperations) => void
  /** Returns the limit in force. */
  limitOf: (organisation: string) => OperationLimit | undefined
  /** Counts operations by outcome. */
  count?: (outcome: OperationOutcome, operations: number) => void
}

/** Operations granted to this host, by organisation. */
export interface PrefetchedGrants {
  /**
   * Takes one operation, waiting for a grant and its turn if necessary.
   *
   * @param organisation - name of the organisation
   * @param request - priority and wait
   * @returns the time from which its age counts, on the monotonic clock, in milliseconds
   * @throws RequestError `LimitReached` with verdict `not-run`
   */
  take: (organisation: string, request: OperationRequest) => Promise<number>
  /** Refunds an operation that did not run; `takenAt` is the result of `take`. */
  refund: (organisation: string, takenAt: number) => void
  /** Counts the retry of an operation that may have run, even when no grant is left. */
  countRetry: (organisation: string) => void
  /** Drops the grants of organisations that are no longer declared. */
  retain: (declared: { has: (name: string) => boolean }) => void
  close: () => void
}

/** Timeout assumed for a caller that states none, in milliseconds; retry delays are never longer. */
const DEFAULT_TIMEOUT_MS = 1000

/** Time of an operation that is too old to be refunded. */
const NOT_REFUNDABLE = -Infinity

/** Grants and waiting operations of an organisation. */
interface OrganisationState {
  name: string
  grants: OrganisationGrants
  refusals: LocalRefusals
  waiting: WaitingOperation[]
  isRequesting: boolean
}

/** What the functions below share. */
interface HostContext extends Pick<PrefetchedGrantsOptions, 'requestGrant' | 'limitOf'> {
  count: (outcome: OperationOutcome, operations: number) => void
  returns: UnusedReturns
}

function refusalOf (
  { limitOf, count }: HostContext, { name, grants, refusals }: OrganisationState, request: OperationRequest
): RequestError {
  count('refused', 1)
  const { priority, timeoutMs = DEFAULT_TIMEOUT_MS, maximumWaitMs } = request
  const retryAfterMs = refusals.retryAfterMs(priority, timeoutMs, maximumWaitMs)
  const { version, owner: keeper } = grants.lastAnswer ?? {}
  return new RequestError('not-run', 'LimitReached', {
    organisation: name, limit: limitOf(name), version, keeper, retryAfterMs
  })
}

/** Removes the function that ends the wait of an operation, since the wait is over. */
function clearCancelWait ({ holder }: OperationRequest): void {
  if (holder !== undefined) {
    holder.cancelWait = undefined
  }
}

function refuse (context: HostContext, organisation: OrganisationState, { request, reject }: WaitingOperation): void {
  clearCancelWait(request)
  reject(refusalOf(context, organisation, request))
}

/** Lets an operation run when its turn has come; until then its holder may end the wait. */
function startTurn (
  context: HostContext, organisation: OrganisationState, operation: WaitingOperation, turnMs: number
): void {
  const { count, returns } = context
  const { request, resolve } = operation
  const { bucket } = organisation.grants
  const run = (): void => {
    count('used', 1)
    clearCancelWait(request)
    // Only the bucket that granted an operation may be credited with it.
    resolve(bucket === organisation.grants.bucket ? performance.now() : NOT_REFUNDABLE)
  }
  if (turnMs <= 0) {
    run()
    return
  }
  count('waited', 1)
  const timer = setTimeout(run, turnMs)
  if (request.holder !== undefined) {
    request.holder.cancelWait = () => {
      clearTimeout(timer)
      // Another operation of this host must not run before this one's turn, so the operation goes back.
      returns.giveBack(organisation, bucket)
      refuse(context, organisation, operation)
    }
  }
}

/** Gives the operations granted to a priority to those that wait, and refuses the others. */
function serveGrant (
  context: HostContext, organisation: OrganisationState, wanted: number, grant: PriorityGrant
): void {
  const { grants, waiting, refusals } = organisation
  const { priority, granted, turnsMs, retryAfterMs } = grant
  for (let index = 0; index < granted; index++) {
    const waitingIndex = waiting.findIndex(({ request }) => request.priority === priority)
    if (grants.left < 0) {
      grants.left++
    } else if (waitingIndex >= 0) {
      startTurn(context, organisation, waiting.splice(waitingIndex, 1)[0]!, turnsMs[index] ?? 0)
    } else {
      context.returns.giveBack(organisation, grants.bucket)
    }
  }
  if (granted < wanted) {
    refusals.record(priority, retryAfterMs)
    for (const operation of waiting.filter(({ request }) => request.priority === priority)) {
      waiting.splice(waiting.indexOf(operation), 1)
      refuse(context, organisation, operation)
    }
  }
}

/** Gives operations granted in advance to those that still wait. */
function serveFromAdvance ({ count }: HostContext, { grants, waiting }: OrganisationState): void {
  while (waiting.length > 0) {
    const takenAt = consumeGrant(grants)
    if (takenAt === undefined) {
      return
    }
    const { request, resolve } = waiting.shift()!
    count('used', 1)
    clearCancelWait(request)
    resolve(takenAt)
  }
}

/** Requests operations until none waits. */
async function requestGrants (context: HostContext, organisation: OrganisationState): Promise<void> {
  const { requestGrant, limitOf, count, returns } = context
  const { name, grants, waiting } = organisation
  organisation.isRequesting = true
  while (waiting.length > 0) {
    const { owed, expected } = computeAdvance(grants, limitOf(name))
    const requests = requestsOf(waiting, owed)
    const wanted = waiting.length + owed + expected
    const answer = await requestGrant(name, wanted, requests)
    const byPriority = grantsByPriority(requests, answer)
    const forWaiting = byPriority.reduce((sum, { granted }) => sum + granted, 0)
    count('granted', answer?.granted ?? 0)
    count('expired', recordAnswer(grants, answer, forWaiting))
    byPriority.forEach((grant) => {
      const request = requests.find(({ priority }) => priority === grant.priority)
      serveGrant(context, organisation, request?.wanted ?? 0, grant)
    })
    serveFromAdvance(context, organisation)
    returns.schedule(organisation)
  }
  organisation.isRequesting = false
}

/** Waits for a grant and its turn; the holder may end the wait, also while the request is in progress. */
async function waitForGrant (
  context: HostContext, organisation: OrganisationState, request: OperationRequest
): Promise<number> {
  const { waiting } = organisation
  const { holder } = request
  return await new Promise<number>((resolve, reject) => {
    const operation = { request, resolve, reject }
    waiting.push(operation)
    if (holder !== undefined) {
      holder.cancelWait = () => {
        waiting.splice(waiting.indexOf(operation), 1)
        refuse(context, organisation, operation)
      }
    }
    if (!organisation.isRequesting) {
      void requestGrants(context, organisation)
    }
  })
}

/**
 * Creates an empty set of grants.
 *
 * @param options - how grants are requested from owners and returned to them
 * @returns the grants
 */
export function createPrefetchedGrants (options: PrefetchedGrantsOptions): PrefetchedGrants {
  const { requestGrant, limitOf, returnOperations, count = () => {} } = options
  const organisations = new Map<string, OrganisationState>()
  const returns = createUnusedReturns({ organisations, returnOperations, count })
  const context: HostContext = { requestGrant, limitOf, count, returns }

  const organisationOf = (name: string): OrganisationState => {
    let known = organisations.get(name)
    if (known === undefined) {
      const grants = createOrganisationGrants()
      known = { name, grants, refusals: createLocalRefusals(), waiting: [], isRequesting: false }
      organisations.set(name, known)
    }
    return known
  }
  return {
    take: async (name, request) => {
      const organisation = organisationOf(name)
      countRequest(organisation.grants)
      const takenAt = consumeGrant(organisation.grants)
      if (takenAt !== undefined) {
        count('used', 1)
        return takenAt
      }
      if (organisation.refusals.isRefused(request.priority)) {
        throw refusalOf(context, organisation, request)
      }
      return await waitForGrant(context, organisation, request)
    },
    refund: (name, takenAt) => {
      const organisation = organisationOf(name)
      if (refundGrant(organisation.grants, takenAt)) {
        returns.schedule(organisation)
      } else {
        count('expired', 1)
      }
    },
    countRetry: (name) => countUnconditionally(organisationOf(name).grants),
    retain: (declared) => {
      [...organisations].filter(([name, { waiting }]) => !declared.has(name) && waiting.length === 0)
        .forEach(([name]) => organisations.delete(name))
    },
    close: returns.close
  }
}
