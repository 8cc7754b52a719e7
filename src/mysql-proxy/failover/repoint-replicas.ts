/** Repoints replicas that do not follow the current primary, based on the statuses of the last full round of probes. */
import type { GroupView } from '../upstreams/group-view.ts'
import { repointUpstream } from './election.ts'

/**
 * Repoints reachable replicas that follow another primary or an older term.
 *
 * @param view - the group
 * @returns whether an upstream is fenced by an unfinished election
 */
export async function repointReplicas (view: GroupView): Promise<boolean> {
  const { primary, term } = view.leadership
  let isFenced = view.upstreams.get(primary)?.deposed === true
  for (const replica of view.replicaNames) {
    const upstream = view.upstreams.get(replica)!
    const status = upstream.channel.latest?.status
    if (status === undefined || !upstream.reachable) {
      continue
    }
    isFenced ||= status.fencedTerm > term
    if (status.term < term || status.primary !== primary) {
      await repointUpstream(upstream, primary, term)
    }
  }
  return isFenced
}
