/**
 * Sends observations and new primaries to the processes that need them, over peer links. Owns nothing; relies on
 * membership for the addresses. A notice that is lost costs time only: keepers probe themselves, and so do homes.
 */
import type { Peers } from '../../peers/index.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import type { Membership } from '../membership/index.ts'
import type { Member } from '../membership/types.ts'
import type { Leadership } from '../upstreams/group-view.ts'
import type { Observation } from './suspicion.ts'
import { KEEPERS_PER_GROUP } from './types.ts'

/** Time for the answer to a notice, in milliseconds. */
const NOTICE_TIMEOUT_MS = 500
/** Homes that a new primary is announced to; others learn of it from their probes. */
const NOTIFIED_HOMES = 8

/** Notices of one keeper. */
interface Notices {
  /** Keepers of a group, the first one to act first. */
  keepersOf: (group: string) => Member[]
  /** Sends an observation to the other keepers of a group. */
  spreadEvidence: (group: string, observation: Observation) => void
  /** Announces a new primary to the homes and the other keepers of a group. */
  announce: (group: string, leadership: Leadership) => void
}

/**
 * Creates the notices of a keeper.
 *
 * @param membership - the members
 * @param peers - links to them
 * @returns the notices
 */
export function createNotices (membership: Membership, peers: Peers): Notices {
  const keepersOf = (group: string): Member[] => placeGroup(group, membership.available('keeper'), KEEPERS_PER_GROUP)

  const notify = (members: Member[], type: string, body: unknown): void => {
    members.filter(({ host }) => host !== membership.self.host).forEach((member) => {
      // Lost notices are not repeated: the receiver's own probes find the same.
      peers.request(member, type, body, NOTICE_TIMEOUT_MS).catch(() => {})
    })
  }

  return {
    keepersOf,
    spreadEvidence: (group, observation) =>
      notify(keepersOf(group), 'evidence', { ...observation, group, host: membership.self.host }),
    announce: (group, leadership) => {
      const homes = placeGroup(group, membership.available('proxy'), NOTIFIED_HOMES)
      notify([...homes, ...keepersOf(group)], 'leadership', { ...leadership, group })
    }
  }
}
