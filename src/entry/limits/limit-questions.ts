/**
 * Requests grants from the owners of limits, and answers such requests of other hosts.
 *
 * A request goes to the first host in the order of owners that is not known to be silent, and to the next one if that
 * does not answer. An owner with an older desired state than the requester waits briefly for the newer version.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Homes } from '../homes/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import {
  returnSchema, takeAnswerSchema, takeRequestSchema, type Grant, type PriorityRequest, type ReturnedOperations,
  type TakeAnswer
} from './limit-frames.ts'
import type { GrantAnswer } from './organisation-grants.ts'

/** Time that an owner has to answer, in milliseconds. */
const OWNER_TIMEOUT_MS = 200
/** Number of hosts tried for one grant; each silent one delays the caller by {@link OWNER_TIMEOUT_MS}. */
const MAXIMUM_OWNER_ATTEMPTS = 2
/**
 * Time that an owner waits for the requester's version of the desired state, in milliseconds. Also the retry time for
 * an organisation that is unknown here.
 */
const VERSION_WAIT_MS = 40

/** Options of {@link createGrantRequester}. */
interface GrantRequesterOptions {
  registry: Pick<Registry, 'self'>
  homes: Pick<Homes, 'firstResponsive' | 'recordAnswer' | 'recordFailure'>
  links: Pick<Peers['work'], 'request'>
  logger: Logger
  count: (outcome: 'answered' | 'failed') => void
  /** Version of the desired state in force on this host. */
  version: () => number
  /** Hosts that may own the limit of an organisation, the owner first. */
  orderOf: (organisation: string) => KnownHost[]
  /**
   * Grants operations as the owner or a fallback owner; undefined when the organisation is unknown. Older processes do
   * not tell priorities.
   */
  grantLocally: (
    organisation: string, wanted: number, byPriority: readonly PriorityRequest[] | undefined
  ) => Grant | undefined
}

/** Requests operations from the owner of a limit; undefined when no host answered. */
type RequestGrant = (
  organisation: string, wanted: number, byPriority: readonly PriorityRequest[]
) => Promise<GrantAnswer | undefined>

/**
 * Creates the function that requests grants from the owners of limits, which may be this host.
 *
 * @param options - the order of owners, and the links to them
 * @returns the function
 */
export function createGrantRequester (options: GrantRequesterOptions): RequestGrant {
  const { registry, homes, links, logger, count, version, orderOf, grantLocally } = options

  const requestFromSelf: RequestGrant = async (organisation, wanted, byPriority) => {
    const grant = grantLocally(organisation, wanted, byPriority)
    return grant && { ...grant, version: version(), owner: registry.self.name }
  }
  const requestFromHost = async (
    host: KnownHost, ...[organisation, wanted, byPriority]: Parameters<RequestGrant>
  ): Promise<GrantAnswer | undefined> => {
    if (host.name === registry.self.name) {
      return await requestFromSelf(organisation, wanted, byPriority)
    }
    try {
      const request = { organisation, wanted, version: version(), byPriority }
      const answer = takeAnswerSchema.parse(await links.request(host, 'limit-take', request, OWNER_TIMEOUT_MS))
      homes.recordAnswer(host)
      count('answered')
      return { ...answer, owner: host.name }
    } catch (thrown) {
      homes.recordFailure(host, thrown)
      count('failed')
      logger.log('info', 'limit.owner-failed', { organisation, peer: host.name, reason: describeThrown(thrown) })
      return undefined
    }
  }
  return async (organisation, wanted, byPriority) => {
    for (let attempt = 0; attempt < MAXIMUM_OWNER_ATTEMPTS; attempt++) {
      const host = homes.firstResponsive(orderOf(organisation))
      const answer = host && await requestFromHost(host, organisation, wanted, byPriority)
      if (answer !== undefined) {
        return answer
      }
    }
    return undefined
  }
}

/** Options of {@link answerGrantRequest}. */
interface GrantAnswerOptions extends Pick<GrantRequesterOptions, 'grantLocally' | 'version'> {
  /** Waits up to a timeout until a version of the desired state is in force on this host. */
  reach: (version: number, timeoutMs: number) => Promise<unknown>
}

/**
 * Answers the grant request of another host.
 *
 * @param body - the request
 * @param options - how this host grants operations
 * @returns the answer
 */
export async function answerGrantRequest (
  body: unknown, { grantLocally, version, reach }: GrantAnswerOptions
): Promise<TakeAnswer> {
  const { organisation, wanted, version: requesterVersion, byPriority } = takeRequestSchema.parse(body)
  await reach(requesterVersion, VERSION_WAIT_MS)
  const grant = grantLocally(organisation, wanted, byPriority)
  return { granted: 0, retryAfterMs: VERSION_WAIT_MS, ...grant, version: version() }
}

/** Options of {@link createOperationReturner}. */
interface OperationReturnerOptions extends Pick<GrantRequesterOptions, 'registry' | 'links' | 'orderOf'> {
  /** Credits operations that this host has granted. */
  creditLocally: (returned: ReturnedOperations) => void
}

/**
 * Creates the function that returns operations to the host that granted them. A return that is lost only wastes its
 * operations, so it is not repeated.
 *
 * @param options - the order of owners, and the links to them
 * @returns the function
 */
export function createOperationReturner (
  { registry, links, orderOf, creditLocally }: OperationReturnerOptions
): (owner: string, returned: ReturnedOperations) => void {
  return (owner, returned) => {
    const host = orderOf(returned.organisation).find(({ name }) => name === owner)
    if (owner === registry.self.name) {
      creditLocally(returned)
    } else if (host !== undefined) {
      links.request(host, 'limit-return', returned, OWNER_TIMEOUT_MS).catch(() => {})
    }
  }
}

/**
 * Handles the return of operations by another host.
 *
 * @param body - the request
 * @param creditLocally - credits the operations
 * @returns the answer
 */
export async function answerReturn (
  body: unknown, creditLocally: (returned: ReturnedOperations) => void
): Promise<Record<string, never>> {
  creditLocally(returnSchema.parse(body))
  return {}
}
