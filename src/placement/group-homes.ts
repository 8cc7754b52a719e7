/**
 * Chooses the processes that serve a group by rendezvous hashing: the best candidate of each failure domain first, then
 * the best of the rest. Losing a failure domain leaves the group its other processes.
 */
import xxhash from 'xxhash-wasm'
import { byScore, hashInputOf, type ScoredHost } from './rendezvous.ts'

const { h64 } = await xxhash()

/** A process that can serve groups. */
export interface Candidate {
  host: string
  failureDomain: string
}

/**
 * Computes the score of a host for a group.
 *
 * @param group - name of the group
 * @param host - name of the host
 * @returns the score
 */
export function scoreOf (group: string, host: string): bigint {
  return h64(hashInputOf(group, host))
}

/**
 * Chooses the processes that serve a group. The result depends only on the arguments, not on the order of candidates.
 *
 * @param group - name of the group
 * @param candidates - the candidates
 * @param count - number of processes to choose
 * @returns the chosen candidates in order of preference
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
