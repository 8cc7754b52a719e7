/** Finds the home of a group and hands it requests, here or over a peer link. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Member } from '../membership/types.ts'
import type { Peers } from '../../peers/index.ts'
import type { HomeReply, HomeRequest } from './types.ts'

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
const RETRY_AFTER_MS = 100

/** Requests that may be sent again when the link to their home broke: reads, and writes under a key. */
const SAFE_TO_RESEND: Record<HomeRequest['type'], boolean> = {
  execute: true,
  begin: true,
  'transaction-execute': false,
  commit: false,
  rollback: false,
  settle: true,
  explain: true
}

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
          doubtful ||= thrown instanceof RequestError && thrown.verdict === 'may-have-run'
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

/**
 * That the last home did not run a request says nothing of an earlier home whose answer was lost. A word on the key
 * itself does: it was contested, or another request holds it.
 */
function asDoubtful (thrown: unknown): unknown {
  const isFinal = thrown instanceof RequestError && ['TransactionLost', 'KeyReused'].includes(thrown.entry)
  return isFinal ? thrown : toRequestError(thrown, 'may-have-run', true)
}

/** Another home is tried after a broken link, a stop, or a refused connection; what was decided stands. */
function mayTryElsewhere (thrown: unknown, request: HomeRequest): boolean {
  if (!(thrown instanceof RequestError)) {
    return false
  }
  if (thrown.entry === 'PeerUnavailable') {
    return thrown.verdict === 'not-run' || SAFE_TO_RESEND[request.type]
  }
  const refusedConnection = thrown.entry === 'ConnectionLost' && /too many connections/i.test(thrown.message)
  return thrown.verdict === 'not-run' && (thrown.entry === 'Stopping' || refusedConnection)
}
