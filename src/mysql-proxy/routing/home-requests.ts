/**
 * Sends requests to a home of their group, in this process or over a peer link, and tries the next home when a failure
 * allows it (`what-is-repeated.ts`).
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Member } from '../membership/types.ts'
import type { Peers } from '../../peers/index.ts'
import type { HomeReply, HomeRequest } from './types.ts'
import { withUnknownOutcome, hasUnknownOutcome, mayTryAnotherHome } from './what-is-repeated.ts'

/** Options of {@link createHomeRequests}. */
interface HomeRequestsOptions {
  membership: Membership
  peers: Peers
  /** Returns the homes of a group, best first. */
  homesOf: (group: string) => Member[]
  /** Serves a request in this process. */
  serveLocally: (request: HomeRequest) => Promise<HomeReply>
}

/** Sender of requests to homes. */
export interface HomeRequests {
  /**
   * Sends a request to a home of its group, and to the next one after a failure that allows it.
   *
   * @param request - the request
   * @returns the reply and the host that served it
   * @throws RequestError
   */
  send: (request: HomeRequest) => Promise<ServedReply>
  /**
   * Sends a request to one home only, as the statements of a transaction require.
   *
   * @param home - name of the host
   * @param request - the request
   * @throws RequestError
   */
  sendTo: (home: string, request: HomeRequest) => Promise<HomeReply>
  /** Number of requests forwarded to other proxies. */
  readonly passedOn: number
}

/** A reply and the host that served it. */
interface ServedReply {
  reply: HomeReply
  home: string
}

/** Added to the timeout of a forwarded request, so that the home's verdict can arrive first, in milliseconds. */
const ANSWER_GRACE_MS = 250
/** Suggested retry delay for callers when a group has no home, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Creates a sender of requests to homes.
 *
 * @param options - membership, peer links, placement and the homes of this process
 * @returns the sender
 */
export function createHomeRequests (options: HomeRequestsOptions): HomeRequests {
  const { membership, peers, homesOf, serveLocally } = options
  let passedOn = 0

  const sendToMember = async (member: Member, request: HomeRequest): Promise<HomeReply> => {
    if (member.host === membership.self.host) {
      return await serveLocally(request)
    }
    passedOn++
    try {
      return await peers.request(member, 'home', request, request.deadlineMs + ANSWER_GRACE_MS) as HomeReply
    } catch (thrown) {
      if (thrown instanceof RequestError && thrown.entry === 'PeerUnavailable') {
        membership.reportFailure(member.host)
      }
      throw thrown
    }
  }

  const homesByPreference = (group: string): Member[] => {
    const rank = (member: Member): number => {
      if (member.host === membership.self.host) {
        return 0
      }
      const domainRank = member.failureDomain === membership.self.failureDomain ? 1 : 2
      return membership.answers(member.host) ? domainRank : domainRank + 2
    }
    return homesOf(group).sort((left, right) => rank(left) - rank(right))
  }

  return {
    get passedOn () { return passedOn },
    send: async (request) => {
      const startedAt = performance.now()
      let failure: unknown
      let mayHaveRun = false
      for (const member of homesByPreference(request.group)) {
        const leftMs = request.deadlineMs - (performance.now() - startedAt)
        if (leftMs <= 0) {
          break
        }
        try {
          return { reply: await sendToMember(member, { ...request, deadlineMs: leftMs }), home: member.host }
        } catch (thrown) {
          failure = mayHaveRun ? withUnknownOutcome(thrown, request.type) : thrown
          if (!mayTryAnotherHome(thrown, request)) {
            throw failure
          }
          mayHaveRun ||= hasUnknownOutcome(thrown)
        }
      }
      throw failure ?? new RequestError('not-run', 'NoUpstream', {
        group: request.group, reason: 'no proxy is home to it', retryAfterMs: RETRY_AFTER_MS
      })
    },
    sendTo: async (home, request) => {
      const member = membership.known().find((candidate) => candidate.host === home)
      if (member === undefined) {
        throw new RequestError('not-run', 'PeerUnavailable', { peer: home, reason: 'it is gone' })
      }
      return await sendToMember(member, request)
    }
  }
}
