/** Handles members that do not answer: probes them through another member before changing their state. */
import type { Peers } from '../../peers/index.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'
import { CONFIRMATION_TIMEOUT_MS, stateAfterTimeout } from './silence-rule.ts'
import type { Member } from './types.ts'

/** Time for which a failed request counts, in milliseconds; a heartbeat from the member clears it earlier. */
const FAILURE_TTL_MS = 500

/** Options of {@link createSuspicion}. */
interface SuspicionOptions {
  peers: Peers
  list: MemberList
  opinions: Opinions
}

/** Members that recently failed to answer this process. */
interface Suspicion {
  /** Records that a member did not answer, without changing its state. */
  recordFailure: (host: string) => void
  /** Records that a member has sent or answered a heartbeat; clears its failure. */
  recordAnswer: (host: string) => void
  /** Whether a member has no recent failure and is not suspect. */
  answers: (host: string) => boolean
  /** Suspects a member that did not answer, unless another member can reach it. */
  suspect: (member: Member) => Promise<void>
}

/**
 * Creates the suspicion of a process, without failures.
 *
 * @param options - peers, member list and opinions
 * @returns the suspicion
 */
export function createSuspicion ({ peers, list, opinions }: SuspicionOptions): Suspicion {
  const failedUntil = new Map<string, number>()

  const recordFailure = (host: string): void => {
    failedUntil.set(host, performance.now() + FAILURE_TTL_MS)
  }

  return {
    recordFailure,
    recordAnswer: (host) => failedUntil.delete(host),
    answers: (host) =>
      (failedUntil.get(host) ?? 0) < performance.now() && list.get(host)?.state !== 'suspect',
    suspect: async (member) => {
      recordFailure(member.host)
      const prober = list.all().find(({ state, host }) =>
        state === 'live' && host !== member.host && host !== opinions.self.host)
      if (prober !== undefined && await probeIndirectly(peers, prober, member)) {
        return
      }
      const current = list.get(member.host)
      const next = current === undefined ? undefined : stateAfterTimeout(current.state)
      if (current !== undefined && next !== undefined) {
        opinions.hear({ ...current, state: next })
      }
    }
  }
}

/** Asks another member to probe, to tell a broken link from a failed process; returns whether the member answered. */
async function probeIndirectly (peers: Peers, prober: Member, member: Member): Promise<boolean> {
  try {
    return await peers.request(prober, 'try-member', member, CONFIRMATION_TIMEOUT_MS) === true
  } catch {
    // Not logged: a prober that does not answer is detected by its own heartbeats.
    return false
  }
}
