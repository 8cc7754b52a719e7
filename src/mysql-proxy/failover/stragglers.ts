/**
 * Upstreams that do not follow their primary: one that came back, or one whose election was left unfinished. Relies on
 * the statuses of the last full round of probes.
 */
import type { GroupView } from '../upstreams/group-view.ts'
import { follow } from './election.ts'

/**
 * Lets reachable replicas follow the primary that do not.
 *
 * @param view - the group
 * @returns whether an upstream is fenced by an election that did not end
 */
export async function followStragglers (view: GroupView): Promise<boolean> {
  const { primary, term } = view.leadership
  let stuck = view.upstreams.get(primary)?.deposed === true
  for (const replica of view.replicaNames) {
    const upstream = view.upstreams.get(replica)!
    const status = upstream.channel.latest?.status
    if (status === undefined || !upstream.reachable) {
      continue
    }
    stuck ||= status.fencedTerm > term
    if (status.term < term || status.primary !== primary) {
      await follow(upstream, primary, term)
    }
  }
  return stuck
}
