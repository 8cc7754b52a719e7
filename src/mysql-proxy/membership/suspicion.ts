/** Acts on members that do not answer: tries them through a second member, and changes their state by the rule. */
import type { Peers } from '../../peers/index.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'
import { CONFIRMATION_TIMEOUT_MS, stateWhenSilent } from './silence-rule.ts'
import type { Member } from './types.ts'

/**
 * Time for which a member that failed a request is tried last, in milliseconds. A new heartbeat from it ends that time.
 */
const AVOID_MS = 500

/** Options of {@link createSuspicion}. */
interface SuspicionOptions {
  peers: Peers
  list: MemberList
  opinions: Opinions
}

/** What this process knows of members that failed to answer it. */
interface Suspicion {
  /** Records that a member did not answer; others may still reach it. */
  recordFailure: (host: string) => void
  /** Records that a member has sent or answered a heartbeat. */
  recordAnswer: (host: string) => void
  /** Whether a member answered when last tried. */
  answers: (host: string) => boolean
  /** Suspects a member that did not answer, unless a second member reaches it. */
  suspect: (member: Member) => Promise<void>
}

/**
 * Creates the suspicion of a process that starts.
 *
 * @param options - links, list and opinions
 * @returns the suspicion; no member has failed
 */
export function createSuspicion ({ peers, list, opinions }: SuspicionOptions): Suspicion {
  const avoidedUntil = new Map<string, number>()

  const recordFailure = (host: string): void => {
    avoidedUntil.set(host, performance.now() + AVOID_MS)
  }

  return {
    recordFailure,
    recordAnswer: (host) => avoidedUntil.delete(host),
    answers: (host) =>
      (avoidedUntil.get(host) ?? 0) < performance.now() && list.get(host)?.state !== 'suspect',
    suspect: async (member) => {
      recordFailure(member.host)
      const helper = list.all().find(({ state, host }) =>
        state === 'live' && host !== member.host && host !== opinions.self.host)
      if (helper !== undefined && await reachesMember(peers, helper, member)) {
        return
      }
      const current = list.get(member.host)
      const next = current === undefined ? undefined : stateWhenSilent(current.state)
      if (current !== undefined && next !== undefined) {
        opinions.hear({ ...current, state: next })
      }
    }
  }
}

/** Asks a second member to try; a broken link of this process is not a failure of the other one. */
async function reachesMember (peers: Peers, helper: Member, member: Member): Promise<boolean> {
  try {
    return await peers.request(helper, 'try-member', member, CONFIRMATION_TIMEOUT_MS) === true
  } catch {
    // No log line: a second member that does not answer confirms nothing, and is suspected by its own heartbeats.
    return false
  }
}
