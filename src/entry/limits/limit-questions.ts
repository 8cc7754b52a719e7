/**
 * Requests grants from the owners of limits, and answers such requests of other hosts.
 *
 * A request goes to the first host in the order of owners that is not known to be silent, and to the next one if that
 * does not answer. An owner with an older desired state than the requester waits briefly for the newer version.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Homes } from '../homes/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { GrantAnswer } from './organisation-grants.ts'
import type { Grant } from './token-bucket.ts'

/** Time that an owner has to answer, in milliseconds. */
const OWNER_TIMEOUT_MS = 200
/** Number of hosts tried for one grant; each silent one delays the caller by {@link OWNER_TIMEOUT_MS}. */
const MAXIMUM_OWNER_ATTEMPTS = 2
/**
 * Time that an owner waits for the requester's version of the desired state, in milliseconds. Also the retry time for
 * an organisation that is unknown here.
 */
const VERSION_WAIT_MS = 40

const requestSchema = z.object({
  organisation: z.string(),
  wanted: z.number().int().positive(),
  /** Version of the desired state in force at the requester. */
  version: z.number()
})
const answerSchema = z.object({
  granted: z.number().int().nonnegative(),
  retryAfterMs: z.number().nonnegative(),
  /** Version of the desired state that defines the limit. */
  version: z.number()
})

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
  /** Grants operations as the owner or a fallback owner; undefined when the organisation is unknown. */
  grantLocally: (organisation: string, wanted: number) => Grant | undefined
}

/** Requests operations from the owner of a limit; undefined when no host answered. */
type RequestGrant = (organisation: string, wanted: number) => Promise<GrantAnswer | undefined>

/**
 * Creates the function that requests grants from the owners of limits, which may be this host.
 *
 * @param options - the order of owners, and the links to them
 * @returns the function
 */
export function createGrantRequester (options: GrantRequesterOptions): RequestGrant {
  const { registry, homes, links, logger, count, version, orderOf, grantLocally } = options

  const requestFromSelf = (organisation: string, wanted: number): GrantAnswer | undefined => {
    const grant = grantLocally(organisation, wanted)
    return grant && { ...grant, version: version(), owner: registry.self.name }
  }
  const requestFromHost = async (
    host: KnownHost, organisation: string, wanted: number
  ): Promise<GrantAnswer | undefined> => {
    if (host.name === registry.self.name) {
      return requestFromSelf(organisation, wanted)
    }
    try {
      const request = { organisation, wanted, version: version() }
      const answer = answerSchema.parse(await links.request(host, 'limit-take', request, OWNER_TIMEOUT_MS))
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
  return async (organisation, wanted) => {
    for (let attempt = 0; attempt < MAXIMUM_OWNER_ATTEMPTS; attempt++) {
      const host = homes.firstResponsive(orderOf(organisation))
      const answer = host && await requestFromHost(host, organisation, wanted)
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
): Promise<z.infer<typeof answerSchema>> {
  const { organisation, wanted, version: requesterVersion } = requestSchema.parse(body)
  await reach(requesterVersion, VERSION_WAIT_MS)
  const grant = grantLocally(organisation, wanted)
  return { granted: grant?.granted ?? 0, retryAfterMs: grant?.retryAfterMs ?? VERSION_WAIT_MS, version: version() }
}
