/**
 * Cache of group placements. Placing a group ranks all members, so a membership change invalidates only the placements
 * that it can affect.
 */
import { placeGroup, scoreOf, type Candidate } from '../../placement/group-homes.ts'

/** A cached placement of a group. */
interface CachedPlacement<Member> {
  chosen: Member[]
  count: number
  /** Lowest score among the chosen members. */
  lowestScore: bigint
}

/** Cache of placements by group. */
interface PlacementCache<Member extends Candidate> {
  /**
   * Returns the members that a group is placed on.
   *
   * @param group - name of the group
   * @param count - number of members to choose
   * @returns the chosen members, best first
   */
  place: (group: string, count: number) => Member[]
  /**
   * Replaces the members, and invalidates the placements that the change affects.
   *
   * @param members - all current members
   */
  update: (members: Member[]) => void
}

/**
 * Creates a cache without members.
 *
 * @returns the empty cache
 */
export function createPlacementCache<Member extends Candidate> (): PlacementCache<Member> {
  const cache = new Map<string, CachedPlacement<Member>>()
  let members = new Map<string, Member>()

  const dropPlacementsOf = (removed: Set<string>): void => cache.forEach(({ chosen }, group) => {
    if (chosen.some(({ host }) => removed.has(host))) {
      cache.delete(group)
    }
  })

  /** Drops placements in which an added member outranks a chosen one, or which span too few failure domains. */
  const dropOutrankedPlacements = (added: Member[]): void => cache.forEach(({ lowestScore, chosen, count }, group) => {
    const domains = new Set(chosen.map(({ failureDomain }) => failureDomain))
    const isAffected = domains.size < count || added.some(({ host }) => scoreOf(group, host) > lowestScore)
    if (isAffected) {
      cache.delete(group)
    }
  })

  return {
    place: (group, count) => {
      const cached = cache.get(group)
      if (cached?.count === count) {
        return [...cached.chosen]
      }
      const chosen = placeGroup(group, [...members.values()], count)
      const scores = chosen.map(({ host }) => scoreOf(group, host))
      const lowestScore = scores.reduce((lowest, score) => score < lowest ? score : lowest, scores[0] ?? 0n)
      cache.set(group, { chosen, count, lowestScore })
      return [...chosen]
    },
    update: (current) => {
      const next = new Map(current.map((member) => [member.host, member]))
      const removed = [...members.values()].filter((member) => !isUnchanged(next.get(member.host), member))
      const added = current.filter((member) => !isUnchanged(members.get(member.host), member))
      members = next
      if (removed.length > 0) {
        dropPlacementsOf(new Set(removed.map(({ host }) => host)))
      }
      if (added.length > 0) {
        dropOutrankedPlacements(added)
      }
    }
  }
}

/** Whether two members are the same process; a restarted process may have another address. */
function isUnchanged (left: Candidate | undefined, right: Candidate): boolean {
  return left !== undefined && left.failureDomain === right.failureDomain &&
    (left as { startedAt?: number }).startedAt === (right as { startedAt?: number }).startedAt
}
