/** Which processes look after a group: rendezvous hashing, spread over failure domains. */
import xxhash from 'xxhash-wasm'
import { byScore, pairOf, type ScoredHost } from './rendezvous.ts'

const { h64 } = await xxhash()

/** Somebody who can look after groups. */
export interface Candidate {
  host: string
  failureDomain: string
}

/**
 * Scores a host for a group; the highest scores look after it.
 *
 * @param group - name of the group
 * @param host - name of the host
 * @returns the score
 */
export function scoreOf (group: string, host: string): bigint {
  return h64(pairOf(group, host))
}

/**
 * Chooses candidates for a group. Every process that sees the same candidates finds the same ones in the same order,
 * and the loss of one candidate moves only the groups it had. The best of each failure domain come first; others follow
 * only when there are too few domains.
 *
 * @param group - name of the group
 * @param candidates - the candidates
 * @param count - how many to choose
 * @returns the chosen ones, best first
 */
export function placeGroup<Member extends Candidate> (group: string, candidates: Member[], count: number): Member[] {
  const scored = candidates.map((member) => ({ host: member, score: scoreOf(group, member.host) }))
  const bestByDomain = new Map<string, ScoredHost<Member, bigint>>()
  for (const candidate of scored) {
    const best = bestByDomain.get(candidate.host.failureDomain)
    if (best === undefined || candidate.score > best.score) {
      bestByDomain.set(candidate.host.failureDomain, candidate)
    }
  }
  const chosen = [...bestByDomain.values()].sort(byScore).slice(0, count)
  if (chosen.length < count) {
    const rest = scored.filter((candidate) => !chosen.includes(candidate)).sort(byScore)
    chosen.push(...rest.slice(0, count - chosen.length))
  }
  return chosen.map(({ host }) => host)
}
