/**
 * Which hosts are asked for one grant, and what this host answers when it is asked. Owns the questions between hosts
 * about limits.
 *
 * Rule: the first host in the order that is not known to be silent is asked; when it does not answer in {@link
 * ANSWER_MS}, the next one, {@link HOSTS_ASKED} in all. A host that is asked by a newer desired state than its own
 * waits for that for {@link REACH_VERSION_MS}.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Homes } from '../homes/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { GrantAnswer } from './organisation-grants.ts'
import type { Grant } from './token-bucket.ts'

/** Time that the owner of a limit has to answer, in milliseconds. */
const ANSWER_MS = 200
/** Hosts that are asked for one grant: each silent one costs the caller {@link ANSWER_MS}. */
const HOSTS_ASKED = 2
/**
 * Time that a host which is asked waits for the desired state by which it is asked, in milliseconds. Also the time
 * after which operations of an unknown organisation may be asked for again.
 */
const REACH_VERSION_MS = 40

const questionSchema = z.object({
  organisation: z.string(),
  wanted: z.number().int().positive(),
  /** Version of the desired state of the requester. */
  version: z.number()
})
const answerSchema = z.object({
  granted: z.number().int().nonnegative(),
  retryAfterMs: z.number().nonnegative(),
  /** Version of the desired state whose limit was granted. */
  version: z.number()
})

/** Options of {@link createLimitQuestions}. */
interface LimitQuestionsOptions {
  registry: Pick<Registry, 'self'>
  homes: Pick<Homes, 'firstResponsive' | 'recordAnswer' | 'recordFailure'>
  links: Pick<Peers['work'], 'request'>
  logger: Logger
  count: (outcome: 'answered' | 'failed') => void
  /** Version of the desired state in force here. */
  version: () => number
  orderOf: (organisation: string) => KnownHost[]
  /** Grants operations as the owner or a deputy. */
  grantHere: (organisation: string, wanted: number) => Grant | undefined
}

/** Asks for operations; undefined when no host answered. */
type AskForGrant = (organisation: string, wanted: number) => Promise<GrantAnswer | undefined>

/**
 * Creates what asks the hosts that own limits, this one included.
 *
 * @param options - the order of hosts, and the links to them
 * @returns asks for operations
 */
export function createLimitQuestions (options: LimitQuestionsOptions): AskForGrant {
  const { registry, homes, links, logger, count, version, orderOf, grantHere } = options

  const askSelf = (organisation: string, wanted: number): GrantAnswer | undefined => {
    const grant = grantHere(organisation, wanted)
    return grant && { ...grant, version: version(), keeper: registry.self.name }
  }
  const askHost = async (host: KnownHost, organisation: string, wanted: number): Promise<GrantAnswer | undefined> => {
    if (host.name === registry.self.name) {
      return askSelf(organisation, wanted)
    }
    try {
      const question = { organisation, wanted, version: version() }
      const answer = answerSchema.parse(await links.request(host, 'limit-take', question, ANSWER_MS))
      homes.recordAnswer(host)
      count('answered')
      return { ...answer, keeper: host.name }
    } catch (thrown) {
      homes.recordFailure(host, thrown)
      count('failed')
      logger.log('info', 'limit.owner-failed', { organisation, peer: host.name, reason: describeThrown(thrown) })
      return undefined
    }
  }
  return async (organisation, wanted) => {
    for (let tries = 0; tries < HOSTS_ASKED; tries++) {
      const host = homes.firstResponsive(orderOf(organisation))
      const answer = host && await askHost(host, organisation, wanted)
      if (answer !== undefined) {
        return answer
      }
    }
    return undefined
  }
}

/** Options of {@link answerLimitQuestion}. */
interface LimitAnswerOptions extends Pick<LimitQuestionsOptions, 'grantHere' | 'version'> {
  /** Waits until a version of the desired state is in force here, for a bounded time. */
  reach: (version: number, timeoutMs: number) => Promise<unknown>
}

/**
 * Answers the question of another host.
 *
 * @param body - the question
 * @param options - what this host grants
 * @returns the answer
 */
export async function answerLimitQuestion (
  body: unknown, { grantHere, version, reach }: LimitAnswerOptions
): Promise<z.infer<typeof answerSchema>> {
  const { organisation, wanted, version: askedBy } = questionSchema.parse(body)
  await reach(askedBy, REACH_VERSION_MS)
  const grant = grantHere(organisation, wanted)
  return { granted: grant?.granted ?? 0, retryAfterMs: grant?.retryAfterMs ?? REACH_VERSION_MS, version: version() }
}
