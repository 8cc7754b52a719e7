/**
 * Sends requests to a home of their group, here or over a peer link. Owns the count of requests passed on; relies on
 * membership for the order of homes and on `what-is-repeated.ts` for when another home is tried.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Member } from '../membership/types.ts'
import type { Peers } from '../../peers/index.ts'
import type { HomeReply, HomeRequest } from './types.ts'
import { asDoubtful, isDoubtful, mayTryElsewhere } from './what-is-repeated.ts'

/** Options of {@link createHomeRequests}. */
interface HomeRequestsOptions {
  membership: Membership
  peers: Peers
  /** Homes of a group, best first. */
  homesOf: (group: string) => Member[]
  /** Serves a request here. */
  serveHere: (request: HomeRequest) => Promise<HomeReply>
}

/** Sends requests to homes. */
export interface HomeRequests {
  /**
   * Sends a request to a home of its group; to another one when the first certainly did not run it.
   *
   * @param request - the request
   * @returns the reply and who gave it
   */
  send: (request: HomeRequest) => Promise<ServedReply>
  /**
   * Sends a request to one home only, for transactions stay where they began.
   *
   * @param home - name of the host
   * @param request - the request
   */
  sendTo: (home: string, request: HomeRequest) => Promise<HomeReply>
  /** Requests passed on to other proxies. */
  readonly passedOn: number
}

/** A reply and the host that gave it. */
interface ServedReply {
  reply: HomeReply
  home: string
}

/** Added to a request's time when another process answers it, so that its verdict arrives, in milliseconds. */
const ANSWER_GRACE_MS = 250
/** Time after which a caller should come back when a group has no home, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Creates the sender.
 *
 * @param options - members, links and this process's own homes
 * @returns the sender
 */
export function createHomeRequests (options: HomeRequestsOptions): HomeRequests {
  const { membership, peers, homesOf, serveHere } = options
  let passedOn = 0

  const sendToMember = async (member: Member, request: HomeRequest): Promise<HomeReply> => {
    if (member.host === membership.self.host) {
      return await serveHere(request)
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

  const inOrder = (group: string): Member[] => {
    const rank = (member: Member): number => {
      if (member.host === membership.self.host) {
        return 0
      }
      const near = member.failureDomain === membership.self.failureDomain ? 1 : 2
      return membership.answers(member.host) ? near : near + 2
    }
    return homesOf(group).sort((left, right) => rank(left) - rank(right))
  }

  return {
    get passedOn () { return passedOn },
    send: async (request) => {
      const startedAt = performance.now()
      let failure: unknown
      let doubtful = false
      for (const member of inOrder(request.group)) {
        const leftMs = request.deadlineMs - (performance.now() - startedAt)
        if (leftMs <= 0) {
          break
        }
        try {
          return { reply: await sendToMember(member, { ...request, deadlineMs: leftMs }), home: member.host }
        } catch (thrown) {
          failure = doubtful ? asDoubtful(thrown) : thrown
          if (!mayTryElsewhere(thrown, request)) {
            throw failure
          }
          doubtful ||= isDoubtful(thrown)
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
