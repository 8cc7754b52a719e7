/**
 * Sends failure observations and new primaries to other processes over peer links. Delivery is best effort: a lost
 * notice only adds delay, since keepers and homes probe the upstreams themselves.
 */
import type { Peers } from '../../peers/index.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import type { Membership } from '../membership/index.ts'
import type { Member } from '../membership/types.ts'
import type { Leadership } from '../upstreams/group-view.ts'
import type { Observation } from './suspicion.ts'
import { KEEPERS_PER_GROUP } from './types.ts'

/** Time limit for the acknowledgement of a notice, in milliseconds. */
const NOTICE_TIMEOUT_MS = 500
/** Maximum number of homes that are notified of a new primary; others discover it by probing. */
const NOTIFIED_HOMES = 8

/** Sends the notices of one keeper. */
interface Notices {
  /** Returns the keepers of a group by rank. */
  keepersOf: (group: string) => Member[]
  /** Sends a failure observation to the other keepers of a group. */
  broadcastObservation: (group: string, observation: Observation) => void
  /** Announces a new primary to the homes and the other keepers of a group. */
  announce: (group: string, leadership: Leadership) => void
}

/**
 * Creates the sender of a keeper's notices.
 *
 * @param membership - provides the keepers and proxies
 * @param peers - links to other processes
 * @returns the sender
 */
export function createNotices (membership: Membership, peers: Peers): Notices {
  const keepersOf = (group: string): Member[] => placeGroup(group, membership.available('keeper'), KEEPERS_PER_GROUP)

  const notify = (members: Member[], type: string, body: unknown): void => {
    members.filter(({ host }) => host !== membership.self.host).forEach((member) => {
      // Not retried: the receiver's own probes find the same.
      peers.request(member, type, body, NOTICE_TIMEOUT_MS).catch(() => {})
    })
  }

  return {
    keepersOf,
    broadcastObservation: (group, observation) =>
      notify(keepersOf(group), 'evidence', { ...observation, group, host: membership.self.host }),
    announce: (group, leadership) => {
      const homes = placeGroup(group, membership.available('proxy'), NOTIFIED_HOMES)
      notify([...homes, ...keepersOf(group)], 'leadership', { ...leadership, group })
    }
  }
}
