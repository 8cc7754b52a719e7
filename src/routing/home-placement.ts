/** Which processes look after a group: rendezvous hashing, spread over failure domains. */
import xxhash from 'xxhash-wasm'

const { h64 } = await xxhash()

/** Somebody who can look after groups. */
export interface Candidate {
  host: string
  failureDomain: string
}

/**
 * Ranks candidates for a group. Every process that sees the same candidates finds the same order, and the loss of one
 * candidate moves only the groups it had.
 *
 * @param group - name of the group
 * @param candidates - the candidates
 * @param count - how many to choose
 * @returns the chosen ones, best first; from different failure domains as far as there are enough
 */
export function placeGroup<Member extends Candidate> (group: string, candidates: Member[], count: number): Member[] {
  const ranked = candidates
    .map((member) => ({ member, score: h64(`${group}\0${member.host}`) }))
    .sort((left, right) => left.score > right.score ? -1 : left.score < right.score ? 1 : 0)
  const chosen: Member[] = []
  const domains = new Set<string>()
  for (const { member } of ranked) {
    if (chosen.length < count && !domains.has(member.failureDomain)) {
      chosen.push(member)
      domains.add(member.failureDomain)
    }
  }
  for (const { member } of ranked) {
    if (chosen.length < count && !chosen.includes(member)) {
      chosen.push(member)
    }
  }
  return chosen
}
