/**
 * Which processes serve a group.
 *
 * Inputs: the group, the candidates with their failure domains, how many are wanted. Rule: rendezvous hashing; the best
 * candidate of each failure domain first, then the best of the others. Why: the loss of a failure domain leaves the
 * group its other processes, and the loss of a candidate moves only the groups it had.
 */
import xxhash from 'xxhash-wasm'
import { byScore, pairOf, type ScoredHost } from './rendezvous.ts'

const { h64 } = await xxhash()

/** A process that can serve groups. */
export interface Candidate {
  host: string
  failureDomain: string
}

/**
 * Scores a host for a group; the highest scores serve it.
 *
 * @param group - name of the group
 * @param host - name of the host
 * @returns the score
 */
export function scoreOf (group: string, host: string): bigint {
  return h64(pairOf(group, host))
}

/**
 * Chooses candidates for a group. Every process that knows the same candidates finds the same ones in the same order.
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
