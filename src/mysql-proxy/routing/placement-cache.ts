/**
 * Placements that were asked for, kept up to date when members come and go. Ranking all members for a group takes time
 * in proportion to their number; a change of members drops only the placements that it touches.
 */
import { placeGroup, scoreOf, type Candidate } from '../../placement/group-homes.ts'

/** A kept placement. */
interface KeptPlacement<Member> {
  chosen: Member[]
  count: number
  /** Score of the worst of the chosen. */
  lowestScore: bigint
}

/** Kept placements. */
interface PlacementCache<Member extends Candidate> {
  /**
   * Places a group.
   *
   * @param group - its name
   * @param count - how many members to choose
   * @returns the chosen ones, best first
   */
  place: (group: string, count: number) => Member[]
  /**
   * Replaces the members.
   *
   * @param members - the members
   */
  update: (members: Member[]) => void
}

/**
 * Creates a cache without members.
 *
 * @returns the cache
 */
export function createPlacementCache<Member extends Candidate> (): PlacementCache<Member> {
  const kept = new Map<string, KeptPlacement<Member>>()
  let members = new Map<string, Member>()

  const dropOf = (gone: Set<string>): void => kept.forEach(({ chosen }, group) => {
    if (chosen.some(({ host }) => gone.has(host))) {
      kept.delete(group)
    }
  })

  /** A newcomer matters to a group when it outranks one of the chosen, or when they lack failure domains. */
  const dropOutranked = (newcomers: Member[]): void => kept.forEach(({ lowestScore, chosen, count }, group) => {
    const domains = new Set(chosen.map(({ failureDomain }) => failureDomain))
    const matters = domains.size < count || newcomers.some(({ host }) => scoreOf(group, host) > lowestScore)
    if (matters) {
      kept.delete(group)
    }
  })

  return {
    place: (group, count) => {
      const known = kept.get(group)
      if (known?.count === count) {
        return [...known.chosen]
      }
      const chosen = placeGroup(group, [...members.values()], count)
      const scores = chosen.map(({ host }) => scoreOf(group, host))
      const lowestScore = scores.reduce((lowest, score) => score < lowest ? score : lowest, scores[0] ?? 0n)
      kept.set(group, { chosen, count, lowestScore })
      return [...chosen]
    },
    update: (current) => {
      const next = new Map(current.map((member) => [member.host, member]))
      const gone = [...members.values()].filter((member) => !isSame(next.get(member.host), member))
      const newcomers = current.filter((member) => !isSame(members.get(member.host), member))
      members = next
      if (gone.length > 0) {
        dropOf(new Set(gone.map(({ host }) => host)))
      }
      if (newcomers.length > 0) {
        dropOutranked(newcomers)
      }
    }
  }
}

/** A member that started again may have another address. */
function isSame (left: Candidate | undefined, right: Candidate): boolean {
  return left !== undefined && left.failureDomain === right.failureDomain &&
    (left as { startedAt?: number }).startedAt === (right as { startedAt?: number }).startedAt
}
